/**
 * Whether a failed try is followed by another, and when.
 */
import { FailureCode, isRepeatable, type Failure, type Random } from 'foxtaillever-core'
import type { Job } from '../job.js'
import { isCrash } from '../suspects/isCrash.js'
import type { RetryBudget } from './retryBudget.js'

/** Tries of one job, the first included; the third server that fails it is no accident. */
const MOST_TRIES = 3

/** Before the first retry; doubled for each further one and drawn anew each time. */
const FIRST_PAUSE_MS = 20
const LONGEST_PAUSE_MS = 1000

/** After a crash all that was in flight comes back over this time, so that few meet at one server. */
const SUSPECT_PAUSE_MS = 300

/** Failures that another server would only repeat. */
const final = new Set([
  FailureCode.BadRequest, FailureCode.Unauthenticated, FailureCode.Forbidden, FailureCode.TooLarge,
  FailureCode.DeadlinePassed, FailureCode.Cancelled, FailureCode.Quarantined, FailureCode.ClaimLost,
  FailureCode.ClaimExpired, FailureCode.KeyReused
])

export interface FailedTry {
  readonly job: Job
  readonly failure: Failure
  /** Tries made so far. */
  readonly attempts: number
  /** Started later than this it cannot end in time, milliseconds of Unix time. */
  readonly latestStart: number
  readonly now: number
}

/** Time before which the retry is not sent; undefined when there is none. */
export function decideRetry (tried: FailedTry, budget: RetryBudget, random: Random): number | undefined {
  const { job, failure, attempts, latestStart, now } = tried
  if (attempts >= MOST_TRIES || final.has(failure.code) || !isRepeatable(failure.verdict, job.idempotent)) {
    return undefined
  }
  const firstMs = isCrash(failure) ? SUSPECT_PAUSE_MS : FIRST_PAUSE_MS
  const longest = Math.min(LONGEST_PAUSE_MS, firstMs * 2 ** (attempts - 1))
  // Drawn from the whole pause: callers that failed together come back apart.
  const notBefore = now + random.next() * longest
  if (notBefore > Math.min(latestStart, job.deadline) || !budget.take()) {
    return undefined
  }
  return notBefore
}
