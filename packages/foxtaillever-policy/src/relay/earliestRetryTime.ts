/**
 * When a caller whose request was not run may retry.
 *
 * Before the cause has passed, the retry fails for the same reason and is wasted;
 * much later, the caller loses time before its own deadline.
 */
import { FailureCode } from 'foxtaillever-core'

/** Time after which servers that rejected a request likely accept one, milliseconds: they answer in tens, and a full one drains in hundreds. */
const REJECTION_MS = 300

/** Times to wait for other causes, milliseconds. */
const retryAfterMs: Partial<Record<FailureCode, number>> = {
  // The configuration is read well within a second of a start.
  [FailureCode.NoConfiguration]: 500
}

/** The earliest retry time, milliseconds of Unix time. */
export function earliestRetryTime (code: FailureCode, now: number): number {
  return now + (retryAfterMs[code] ?? REJECTION_MS)
}
