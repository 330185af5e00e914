/** One repeatable request whose servers answer step by step. A step names a server by its index. */
import { setTimeout as wait } from 'node:timers/promises'
import { CacheIsolation } from '../cache/cacheIsolation.js'
import { Repeatability, type Route } from '../model/routing.js'
import { RelayRig } from './relayRig.js'
import { wholeAnswer } from './scriptedServer.js'
import { SILENCE_MS } from './silentStream.js'

/** Time in which what was written arrives on loopback, milliseconds. */
const ARRIVAL_MS = 60

/** Longer than the wait for the first byte of an answer, and shorter than twice that wait, milliseconds. */
const FIRST_SILENCE_MS = 300

/** Longest wait for a request that is to arrive, milliseconds. */
const MAX_WAIT_MS = 1000

/** Longer than the deadline of the request, milliseconds. */
const PAST_DEADLINE_MS = 12_000

/** Time for which a blocked server takes no requests, milliseconds. */
const BLOCKED_MS = 60_000

/** Bytes at the end of a whole answer that a half does not have. */
const REST_BYTES = 3

export enum AnswerStep {
  /** All servers that have the request are taken for silent. */
  Silence = 'silence',
  /** The server that got the request last is taken for silent. */
  FirstSilence = 'first-silence',
  /** The server sends all but the end of its answer, one byte more, the end, or all. */
  Half = 'half',
  Byte = 'byte',
  Rest = 'rest',
  Whole = 'whole',
  /** The server states that it did not run the request. */
  Refuse = 'refuse',
  Lose = 'lose',
  /** The choice of the next server waits for a query of the load, until it is answered. */
  HoldChoice = 'hold-choice',
  Choose = 'choose',
  /** The server takes no further requests. */
  Block = 'block',
  /** An account becomes isolated, and requests that wait with the former cache salt are withdrawn. */
  Isolate = 'isolate'
}

export type Step = readonly [step: AnswerStep, server?: number]

export interface AnswerEnd {
  readonly status: number
  readonly body: string
  /** Requests that arrived at each server. */
  readonly arrivals: string
  /** Requests that count as outstanding at each server. */
  readonly outstanding: string
}

const MODEL = 'm'

/** Isolates an account, and withdraws requests that wait with the former cache salt. */
export function isolateAccount (rig: RelayRig): void {
  rig.routing = { ...rig.routing, cacheIsolation: CacheIsolation.create([{ name: 'a', apiKeys: [], priority: undefined, isIsolated: true, quota: undefined }]) }
  rig.runs.checkCacheSalts()
}

/** Plays the steps, then lets the deadline pass if there is no answer yet. */
export async function playAnswers (route: Partial<Route>, servers: number, steps: readonly Step[]): Promise<AnswerEnd> {
  const rig = await RelayRig.start({ repeatability: Repeatability.Idempotent, ...route }, ...Array.from({ length: servers }, () => () => {}))
  const known = rig.directory.all()
  known.forEach(({ weights }) => weights.set(MODEL, 1))
  const answer = rig.sendRequest('a', '', [`model: ${MODEL}`])
  const queries: Array<() => void> = []
  const write = async (index: number, bytesOf: (whole: string) => string, ...shape: string[]): Promise<void> => {
    for (let ms = 0; ms < MAX_WAIT_MS; ms += 1) {
      const arrival = rig.servers[index]?.arrivals.findLast(({ socket }) => !socket.destroyed)
      if (arrival) {
        arrival.socket.write(bytesOf(wholeAnswer(arrival, `server${index}`, ...shape)))
        return
      }
      await wait(1)
    }
  }
  const acts: Readonly<Record<AnswerStep, (server: number) => Promise<void> | void>> = {
    [AnswerStep.Silence]: async () => await rig.clock.advanceBy(SILENCE_MS),
    [AnswerStep.FirstSilence]: async () => await rig.clock.advanceBy(FIRST_SILENCE_MS),
    [AnswerStep.Half]: async server => await write(server, whole => whole.slice(0, -REST_BYTES)),
    [AnswerStep.Byte]: async server => await write(server, whole => whole.slice(-REST_BYTES, 1 - REST_BYTES)),
    [AnswerStep.Rest]: async server => await write(server, whole => whole.slice(-REST_BYTES)),
    [AnswerStep.Whole]: async server => await write(server, whole => whole),
    [AnswerStep.Refuse]: async server => await write(server, whole => whole, '503 Full', 'not-run: 1'),
    [AnswerStep.Lose]: server => { rig.servers[server]?.sockets.at(-1)?.destroy() },
    [AnswerStep.HoldChoice]: () => { rig.queryLoad = async () => await new Promise(resolve => queries.push(() => resolve(new Set<number>()))) },
    [AnswerStep.Choose]: () => {
      rig.queryLoad = () => undefined
      queries.splice(0).forEach(resolve => resolve())
    },
    [AnswerStep.Block]: server => {
      const blocked = rig.directory.get(`s${server}`)
      if (blocked) {
        blocked.limitedUntil = rig.clock.now() + BLOCKED_MS
      }
    },
    [AnswerStep.Isolate]: () => isolateAccount(rig)
  }
  await rig.servers[0]?.arrived(1)
  for (const [step, server = 0] of steps) {
    await acts[step](server)
    await wait(ARRIVAL_MS)
  }
  await rig.clock.advanceBy(PAST_DEADLINE_MS)
  const text = await answer
  rig.stop()
  return {
    status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1]),
    body: text.slice(text.indexOf('\r\n\r\n') + 4),
    arrivals: rig.servers.map(({ arrivals }) => arrivals.length).join(),
    outstanding: known.map(({ outstanding }) => outstanding).join()
  }
}
