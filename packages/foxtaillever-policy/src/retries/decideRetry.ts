/**
 * Decides whether a failed attempt is followed by another, and when.
 */
import { FailureCode, isRepeatable, type Failure, type Random } from 'foxtaillever-core'
import type { Job } from '../job.js'
import { isCrash } from '../suspects/isCrash.js'
import type { RetryBudget } from './retryBudget.js'

/** Attempts of one job, the first included: when three servers fail it, another one likely would too. */
const MAX_ATTEMPTS = 3

/** Pause before the first retry, milliseconds; doubled for each further one and drawn at random each time. */
const FIRST_PAUSE_MS = 20
const MAX_PAUSE_MS = 1000

/** After a crash the retries of all requests in flight are spread over this time, milliseconds, so that few meet at one server. */
const SUSPECT_PAUSE_MS = 300

/** Failures that any other server would return too. */
const final = new Set([
  FailureCode.BadRequest, FailureCode.Unauthenticated, FailureCode.Forbidden, FailureCode.TooLarge,
  FailureCode.DeadlinePassed, FailureCode.Cancelled, FailureCode.Quarantined, FailureCode.ClaimLost,
  FailureCode.ClaimExpired, FailureCode.KeyReused
])

export interface FailedAttempt {
  readonly job: Job
  readonly failure: Failure
  /** Attempts made so far. */
  readonly attempts: number
  /** An attempt that starts later cannot end in time, milliseconds of Unix time. */
  readonly latestStart: number
  readonly now: number
}

/** Earliest time of the retry, milliseconds of Unix time; undefined when there is no retry. */
export function decideRetry (failed: FailedAttempt, budget: RetryBudget, random: Random): number | undefined {
  const { job, failure, attempts, latestStart, now } = failed
  if (attempts >= MAX_ATTEMPTS || final.has(failure.code) || !isRepeatable(failure.verdict, job.idempotent)) {
    return undefined
  }
  const firstPauseMs = isCrash(failure) ? SUSPECT_PAUSE_MS : FIRST_PAUSE_MS
  const maxPauseMs = Math.min(MAX_PAUSE_MS, firstPauseMs * 2 ** (attempts - 1))
  // Drawn from the whole pause, so that requests that failed together are not retried together.
  const notBefore = now + random.next() * maxPauseMs
  if (notBefore > Math.min(latestStart, job.deadline) || !budget.tryRetry()) {
    return undefined
  }
  return notBefore
}
