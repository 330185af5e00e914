/** Sends open-loop streams to a subject and times their first tokens; searches the bytes without parsing them, to keep its own cost low. */
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

const MAX_CONNECTIONS = 4096
const FIRST_TOKEN = Buffer.from('id: 1\n')
const CHARACTERS_PER_TOKEN = 4

interface PlannedRequest {
  readonly offsetMs: number
  readonly account: string
  readonly body: string
}

function planRequests (load: StreamLoad): PlannedRequest[] {
  const requests: PlannedRequest[] = []
  const prompt = 'feed '.repeat(Math.ceil(load.promptTokens * CHARACTERS_PER_TOKEN / 5))
  for (let offsetMs = 0; ; offsetMs += exponential(load.random, 1000 / load.requestsPerSecond)) {
    if (offsetMs >= load.seconds * 1000) {
      return requests
    }
    const messages = [{ role: 'system', content: prompt }, { role: 'user', content: `question ${requests.length}` }]
    const body = JSON.stringify({ model: 'm', messages, stream: true, max_tokens: load.tokens })
    requests.push({ offsetMs, account: `account-${load.random.below(load.accounts)}`, body })
  }
}

async function sendPlannedRequest (address: string, planned: PlannedRequest, intendedAt: number, agent: Agent): Promise<number | undefined> {
  const answer = await request(`${address}${EnginePath.ChatCompletions}`, {
    dispatcher: agent,
    method: 'POST',
    headers: { 'content-type': 'application/json', [CallerHeader.Authorization]: `Bearer ${keyOf(planned.account)}` },
    body: planned.body
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
  const agent = new Agent({ connections: MAX_CONNECTIONS })
  const requests = planRequests(load)
  const start = performance.now()
  const times = await Promise.all(requests.map(async planned => {
    const intendedAt = start + planned.offsetMs
    await new Promise(resolve => setTimeout(resolve, intendedAt - performance.now()))
    return await sendPlannedRequest(load.address, planned, intendedAt, agent).catch(() => undefined)
  }))
  await agent.destroy()
  const firstTokenMs = times.filter(time => time !== undefined)
  return { firstTokenMs, sent: requests.length, failed: requests.length - firstTokenMs.length }
}
