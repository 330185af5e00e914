/** Sends open-loop streams to a subject and times their first tokens; it looks at bytes only, to stay cheap. */
import { Agent, request } from 'undici'
import { CallerHeader, EnginePath, exponential, type Random } from 'foxtaillever-core'
import { keyOf } from '../deployment/keyOf.js'

export interface StreamLoad {
  readonly address: string
  readonly random: Random
  readonly requestsPerSecond: number
  readonly seconds: number
  /** Tokens of each answer. */
  readonly tokens: number
  readonly promptTokens: number
  readonly accounts: number
}

export interface StreamTimes {
  /** Milliseconds after the intended start. */
  readonly firstTokenMs: number[]
  readonly sent: number
  readonly failed: number
}

const CONNECTIONS = 4096
const FIRST_TOKEN = Buffer.from('id: 1\n')
const CHARACTERS_PER_TOKEN = 4

interface Shot {
  readonly offsetMs: number
  readonly account: string
  readonly body: string
}

function drawShots (load: StreamLoad): Shot[] {
  const shots: Shot[] = []
  const prompt = 'feed '.repeat(Math.ceil(load.promptTokens * CHARACTERS_PER_TOKEN / 5))
  for (let offsetMs = 0; ; offsetMs += exponential(load.random, 1000 / load.requestsPerSecond)) {
    if (offsetMs >= load.seconds * 1000) {
      return shots
    }
    const messages = [{ role: 'system', content: prompt }, { role: 'user', content: `question ${shots.length}` }]
    const body = JSON.stringify({ model: 'm', messages, stream: true, max_tokens: load.tokens })
    shots.push({ offsetMs, account: `account-${load.random.below(load.accounts)}`, body })
  }
}

async function sendOne (address: string, shot: Shot, intendedAt: number, agent: Agent): Promise<number | undefined> {
  const answer = await request(`${address}${EnginePath.ChatCompletions}`, {
    dispatcher: agent,
    method: 'POST',
    headers: { 'content-type': 'application/json', [CallerHeader.Authorization]: `Bearer ${keyOf(shot.account)}` },
    body: shot.body
  })
  let firstTokenMs: number | undefined
  for await (const part of answer.body) {
    if (firstTokenMs === undefined && (part as Buffer).includes(FIRST_TOKEN)) {
      firstTokenMs = performance.now() - intendedAt
    }
  }
  return firstTokenMs
}

export async function sendStreams (load: StreamLoad): Promise<StreamTimes> {
  const agent = new Agent({ connections: CONNECTIONS })
  const shots = drawShots(load)
  const start = performance.now()
  const times = await Promise.all(shots.map(async shot => {
    const intendedAt = start + shot.offsetMs
    await new Promise(resolve => setTimeout(resolve, intendedAt - performance.now()))
    return await sendOne(load.address, shot, intendedAt, agent).catch(() => undefined)
  }))
  await agent.destroy()
  const firstTokenMs = times.filter(time => time !== undefined)
  return { firstTokenMs, sent: shots.length, failed: shots.length - firstTokenMs.length }
}
