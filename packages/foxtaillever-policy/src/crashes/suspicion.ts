/** What speaks against one cause of crashes, and how it compares with others. */

/** What may cause crashes: a level of prompts, or a request as a whole that its caller sends again. */
export enum CauseKind {
  Level = 'level',
  Request = 'request'
}

/** A request that was in flight at a server when it crashed. */
export interface LostRequest {
  /** Digest of what stays the same when its caller sends it again. */
  readonly request: string
  /** Client account; empty for none. */
  readonly account: string
  /** Ids of the levels of its prompt that may have caused the crash, the first one first. */
  readonly levels: readonly string[]
  /** Milliseconds of Unix time. */
  readonly sentAt: number
  /** Whether its suspected levels were tried: no other request with them was in flight. */
  readonly isTrial: boolean
}

/** Numbers of requests of a service that were answered lately: within each of `ANSWER_SPANS_MS`. */
export type AnswerCounts = readonly number[]

/** Milliseconds. */
export const ANSWER_SPANS_MS = [125, 250, 500, 1000, 2000, 4000, 8000] as const

/** A first level that was in flight at so many more crashes than a deeper one is the likelier cause. */
const MORE_CRASHES = 2

/** A crash with everything that was in flight. */
export interface Crash {
  readonly server: number
  /** Milliseconds of Unix time. */
  at: number
  /** By the request's digest. */
  readonly lost: Map<string, LostRequest>
  /** Levels of these requests. */
  readonly levels: Set<string>
  /** Requests answered before the crash, by all instances that lost requests in it. */
  readonly answers: number[]
  /** The server is known to have ended; otherwise something else may have broken its connections. */
  isConfirmed: boolean
  /** A quarantined level was in flight, so the crash says nothing about other levels. */
  isExplained: boolean
}

/** A crash that speaks against a cause, for the log. */
export interface CrashSummary {
  /** Hash of the server's incarnation. */
  readonly server: number
  /** Milliseconds of Unix time. */
  readonly at: number
  /** Requests that were in flight, and how many of them may have been the cause. */
  readonly lost: number
  readonly own: number
  /** Whether one of these tried its suspected levels. */
  readonly isTrial: boolean
}

/** What speaks against one cause. */
export interface Suspicion {
  readonly kind: CauseKind
  readonly id: string
  /** In order of time, after the last answer. */
  readonly crashes: Crash[]
  /** Position among the levels of its prompts. */
  depth: number
}

/** Whether a lost request may have been the cause. */
export function isCausedBy ({ kind, id }: Pick<Suspicion, 'kind' | 'id'>): (request: LostRequest) => boolean {
  return kind === CauseKind.Request ? ({ request }) => request === id : ({ levels }) => levels.includes(id)
}

/** What a crash says about a cause. */
export function summarize ({ server, at, lost }: Crash, cause: Pick<Suspicion, 'kind' | 'id'>): CrashSummary {
  const own = [...lost.values()].filter(isCausedBy(cause))
  return { server, at, lost: lost.size, own: own.length, isTrial: own.some(({ isTrial }) => isTrial) }
}

/** Crashes of which each had a request in flight that was sent after the crash before: servers that crash at the same moment have one reason. */
export function successiveCrashes (suspicion: Suspicion): Crash[] {
  const isOwn = isCausedBy(suspicion)
  const successive: Crash[] = []
  for (const crash of suspicion.crashes) {
    const countedAt = successive.at(-1)?.at ?? -Infinity
    if ([...crash.lost.values()].some(request => isOwn(request) && request.sentAt > countedAt)) {
      successive.push(crash)
    }
  }
  return successive
}

/** Requests that were answered between a time and the crash, milliseconds of Unix time. */
export function answersSince ({ at, answers }: Crash, since: number): number {
  const span = ANSWER_SPANS_MS.findIndex(ms => at - since < ms)
  return answers[span === -1 ? answers.length - 1 : span - 1] ?? 0
}

/** Distinct requests with the cause among those lost. */
export function countRequests (suspicion: Suspicion): number {
  const isOwn = isCausedBy(suspicion)
  return new Set(suspicion.crashes.flatMap(({ lost }) => [...lost.values()].filter(isOwn).map(({ request }) => request))).size
}

/** The client account of all of them; undefined if there are several. */
export function onlyAccount (crashes: readonly Crash[], suspicion: Suspicion): string | undefined {
  const isOwn = isCausedBy(suspicion)
  const accounts = new Set(crashes.flatMap(({ lost }) => [...lost.values()].filter(isOwn).map(({ account }) => account)))
  return accounts.size === 1 ? [...accounts][0] : undefined
}

/**
 * Whether another level explains the crashes as well as this one. All requests with a
 * deeper level have the first level too, so a deeper one that was in flight at most of the
 * crashes is the likelier cause; of two at the same depth it is the one that explains more.
 */
export function explainsAsWell (other: Suspicion, level: Suspicion): boolean {
  if (other === level || other.kind !== CauseKind.Level || level.kind !== CauseKind.Level) {
    return false
  }
  const shared = level.crashes.filter(crash => other.crashes.includes(crash)).length
  if (other.depth < level.depth) {
    return shared === level.crashes.length && other.crashes.length >= level.crashes.length + MORE_CRASHES
  }
  if (other.depth > level.depth) {
    return 2 * shared >= level.crashes.length
  }
  return shared === level.crashes.length && countRequests(other) >= countRequests(level)
}
