/**
 * Counts of one instance since its start, for one client account or all of
 * them. Counts of several instances are added; an instance that was replaced
 * takes its counts with it, so every sum says since when it counts.
 */
import { PriorityClass } from 'foxtaillever-core'

/** Upper ends of the buckets of time to first token, seconds; the last one is open. */
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
  /** Answered after their deadline, or given up at it. */
  readonly late: number
  readonly retried: number
  readonly promptTokens: number
  readonly cachedTokens: number
  /** Prompt tokens computed although some backend server held them. */
  readonly recomputedTokens: number
  /** Requests by time to first token; one entry a bucket, not cumulative. */
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

function addTables<Key extends string> (one: Readonly<Record<Key, number>>, other: Readonly<Record<Key, number>>): Record<Key, number> {
  const sum: Record<Key, number> = { ...one }
  for (const [key, count] of Object.entries(other) as Array<[Key, number]>) {
    sum[key] = (sum[key] ?? 0) + count
  }
  return sum
}

/** The sum counts from the latest start on: before it, one of the two is silent. */
export function addFigures (one: Figures, other: Figures): Figures {
  return {
    startedAt: Math.max(one.startedAt, other.startedAt),
    takenAt: Math.min(one.takenAt, other.takenAt),
    served: one.served + other.served,
    refused: addTables(one.refused, other.refused),
    failed: addTables(one.failed, other.failed),
    late: one.late + other.late,
    retried: one.retried + other.retried,
    promptTokens: one.promptTokens + other.promptTokens,
    cachedTokens: one.cachedTokens + other.cachedTokens,
    recomputedTokens: one.recomputedTokens + other.recomputedTokens,
    firstToken: one.firstToken.map((count, index) => count + (other.firstToken[index] ?? 0)),
    waiting: addTables(one.waiting, other.waiting),
    running: one.running + other.running
  }
}

export function total (counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0)
}

/** Share of prompt tokens that came from cache; undefined before any. */
export function hitRate ({ cachedTokens, promptTokens }: Figures): number | undefined {
  return promptTokens === 0 ? undefined : cachedTokens / promptTokens
}

/**
 * Upper end, in seconds, of the bucket in which the quantile lies; undefined
 * before any answer, Infinity beyond the last closed bucket.
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
