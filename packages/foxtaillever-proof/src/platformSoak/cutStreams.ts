/** Finds whole requests that an entry process left without a complete answer although their backend server's run went on or had ended whole. */
import type { CallerReply } from 'foxtaillever-platform/__fixtures__/caller'
import { RunEnd, type Arrival } from 'foxtaillever-standins'
import type { Disturbances } from './disturbances.js'
import { SHORT_BOUNDS, type SoakFleet, type SoakInstance } from './soakFleet.js'

const GRACE_MS = SHORT_BOUNDS.grace_s * 1000

/** A shutdown may cut a request that was sent up to this long after the SIGTERM, if its server still works in this last share of the grace period. */
const SENT_AFTER_MS = 3000
const LAST_SHARE = 1 / 6

/** Signals and times of callers and servers are taken in one process, some milliseconds after they took effect. */
const TOLERANCE_MS = 100

/** The status of an instance that has lost its server; no answer to a request whose server was only silent. */
const BAD_GATEWAY = 502

/** A request as its caller saw it. */
export interface TimedRequest {
  readonly id: string
  /** Index of the instance. */
  readonly instance: number
  /** Milliseconds of Unix time. */
  readonly sentAt: number
  readonly endedAt: number
  /** When the route gives up on it at the latest. */
  readonly deadline: number
  readonly reply: CallerReply
}

/** A request whose connection was closed before its answer was complete, or that failed for its server's silence. */
interface CutStream {
  readonly stream: TimedRequest
  readonly process: SoakInstance
  /** In the order in which they began. */
  readonly runs: readonly Arrival[]
  /** When links to servers were faulty. */
  readonly cuts: Disturbances
}

/** Why a stream may end before its answer is complete. */
const excuses: Readonly<Record<string, (cut: CutStream) => boolean>> = {
  'a server broke off': ({ runs }) => runs.some(({ end }) => end?.how === RunEnd.BrokenOff),
  'the deadline passed': ({ stream: { endedAt, deadline } }) => endedAt >= deadline - TOLERANCE_MS,
  'the process was killed': ({ stream: { sentAt, endedAt }, process: { child } }) => child.endings.some(({ kind, at }) => kind === 'SIGKILL' && at >= sentAt - TOLERANCE_MS && at <= endedAt + TOLERANCE_MS),
  'a run took until the end of the grace period': ({ stream: { sentAt, endedAt }, process: { child }, runs }) => {
    const workedUntil = Math.max(...runs.map(({ end }) => end?.at ?? endedAt))
    return child.endings.some(({ kind, at }) => kind === 'SIGTERM' && at <= endedAt && sentAt <= at + SENT_AFTER_MS && workedUntil >= at + GRACE_MS * (1 - LAST_SHARE) - TOLERANCE_MS)
  },
  // A link may have closed the connection, or the process that carried the request.
  'a link was faulty': ({ stream: { sentAt, endedAt }, cuts }) => !cuts.wasUndisturbed(sentAt, endedAt)
}

function excuseOf (cut: CutStream): string | undefined {
  return Object.keys(excuses).find(name => excuses[name]?.(cut))
}

/** Without a status, the connection was closed before an answer began: a loss too if a server had the request, or the instance had time to read it. */
function isCut ({ stream: { endedAt, reply: { status, isWhole, lastByteAt } }, runs }: CutStream): boolean {
  return runs.length > 0 && status === BAD_GATEWAY ? true : !isWhole && (status === 200 || (status === 0 && (runs.length > 0 || endedAt > lastByteAt + SHORT_BOUNDS.loss_slack_ms)))
}

function describe ({ stream: { id, sentAt, endedAt, reply: { status, lastByteAt, answerBytes } }, process: { child, lines }, runs }: CutStream): string {
  const since = (at: number): number => Math.round(at - sentAt)
  const described = runs.map(({ at, end }) => `run from ${since(at)} ms, ${end === undefined ? 'open' : `${end.how} at ${since(end.at)} ms`}`)
  const signals = child.endings.filter(({ at }) => at <= endedAt).slice(-2).map(({ kind, at }) => `${kind} at ${since(at)} ms`)
  return `${id} was cut by ${child.options.name} after ${since(endedAt)} ms, last byte at ${since(lastByteAt)} ms, status ${status}, ${answerBytes} bytes: ${[...described, ...signals, ...lines.of(id)].join('; ')}`
}

export interface CutReport {
  readonly violations: readonly string[]
  /** Number of cut streams by excuse. */
  readonly excused: Readonly<Record<string, number>>
}

export function findCuts ({ platform, instances }: Pick<SoakFleet, 'platform' | 'instances'>, streams: readonly TimedRequest[], cuts: Disturbances): CutReport {
  const arrivalsOf = new Map<string, Arrival[]>()
  platform.servers.flatMap(({ arrivals }) => arrivals).filter(({ hasRun }) => hasRun).sort((a, b) => a.at - b.at)
    .forEach(arrival => arrivalsOf.set(arrival.requestId, [...arrivalsOf.get(arrival.requestId) ?? [], arrival]))
  const found = streams.map(stream => ({ stream, process: instances[stream.instance] as SoakInstance, runs: arrivalsOf.get(stream.id) ?? [], cuts })).filter(isCut)
  const excused: Record<string, number> = {}
  const violations = found.flatMap(cut => {
    const excuse = excuseOf(cut)
    if (excuse === undefined) {
      return [describe(cut)]
    }
    excused[excuse] = (excused[excuse] ?? 0) + 1
    return []
  })
  return { violations, excused }
}

/** Processes that ended without a signal of the soak, such as for want of memory. */
export function unexpectedExits ({ instances }: Pick<SoakFleet, 'instances'>): string[] {
  return instances.flatMap(({ child: { options: { name }, unexpectedExits } }) => unexpectedExits.map(({ kind }) => `${name} ended by itself with ${kind}`))
}
