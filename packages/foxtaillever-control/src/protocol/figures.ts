/**
 * Counts of one instance since its start, for one client account or all of
 * them. Counts of several instances are added. The counts of an instance that was
 * replaced are lost, so every sum states the time from which it counts.
 */
import { PriorityClass } from 'foxtaillever-core'

/** Upper bounds of the buckets of time to first token, seconds; the last one is unbounded. */
export const FIRST_TOKEN_BUCKETS_S: readonly number[] = [0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, Infinity]

export interface Figures {
  /** Milliseconds of Unix time. */
  readonly startedAt: number
  /** Milliseconds of Unix time. */
  readonly takenAt: number
  readonly served: number
  /** Refused with verdict "not run", by the rule that refused. */
  readonly refused: Readonly<Record<string, number>>
  /** Failed after they were accepted, by verdict. */
  readonly failed: Readonly<Record<string, number>>
  /** Answered after their deadline, or timed out. */
  readonly late: number
  readonly retried: number
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Prompt tokens computed although some backend server had them cached. */
  readonly recomputedTokens: number
  /** Requests by time to first token; one entry per bucket, not cumulative. */
  readonly firstToken: readonly number[]
  readonly waiting: Readonly<Record<PriorityClass, number>>
  readonly running: number
}

export function createFigures (startedAt: number, takenAt: number): Figures {
  return {
    startedAt,
    takenAt,
    served: 0,
    refused: {},
    failed: {},
    late: 0,
    retried: 0,
    promptTokens: 0,
    cachedTokens: 0,
    recomputedTokens: 0,
    firstToken: FIRST_TOKEN_BUCKETS_S.map(() => 0),
    waiting: { [PriorityClass.Priority]: 0, [PriorityClass.Standard]: 0, [PriorityClass.Bulk]: 0 },
    running: 0
  }
}

function addCounts<Key extends string> (a: Readonly<Record<Key, number>>, b: Readonly<Record<Key, number>>): Record<Key, number> {
  const sum: Record<Key, number> = { ...a }
  for (const [key, count] of Object.entries(b) as Array<[Key, number]>) {
    sum[key] = (sum[key] ?? 0) + count
  }
  return sum
}

/** The sum counts from the later start: before it, only one of the two instances counted. */
export function addFigures (a: Figures, b: Figures): Figures {
  return {
    startedAt: Math.max(a.startedAt, b.startedAt),
    takenAt: Math.min(a.takenAt, b.takenAt),
    served: a.served + b.served,
    refused: addCounts(a.refused, b.refused),
    failed: addCounts(a.failed, b.failed),
    late: a.late + b.late,
    retried: a.retried + b.retried,
    promptTokens: a.promptTokens + b.promptTokens,
    cachedTokens: a.cachedTokens + b.cachedTokens,
    recomputedTokens: a.recomputedTokens + b.recomputedTokens,
    firstToken: a.firstToken.map((count, index) => count + (b.firstToken[index] ?? 0)),
    waiting: addCounts(a.waiting, b.waiting),
    running: a.running + b.running
  }
}

export function total (counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0)
}

/** Share of prompt tokens that were cached; undefined before the first one. */
export function hitRate ({ cachedTokens, promptTokens }: Figures): number | undefined {
  return promptTokens === 0 ? undefined : cachedTokens / promptTokens
}

/**
 * Upper bound, in seconds, of the bucket that holds the quantile; undefined
 * before any answer, Infinity for the last bucket.
 */
export function firstTokenQuantile ({ firstToken }: Figures, quantile: number): number | undefined {
  const all = firstToken.reduce((sum, count) => sum + count, 0)
  let seen = 0
  for (const [index, count] of firstToken.entries()) {
    seen += count
    if (count > 0 && seen >= quantile * all) {
      return FIRST_TOKEN_BUCKETS_S[index]
    }
  }
  return undefined
}
