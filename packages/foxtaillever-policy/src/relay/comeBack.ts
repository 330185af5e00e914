/**
 * When a caller whose request was not run is told to come back.
 *
 * Sooner than the cause can have passed, and the caller meets it again and has
 * spent a retry; much later, and its own deadline is nearer than it need be.
 */
import { FailureCode } from 'foxtaillever-core'

/** A rejection by servers passes within this: they answer in tens, and a full one drains in hundreds, milliseconds. */
const REJECTED_MS = 300

/** Causes that take another time to pass, milliseconds. */
const comeBackMs: Partial<Record<FailureCode, number>> = {
  // The configuration is read well within a second of a start.
  [FailureCode.NoConfiguration]: 500
}

/** Milliseconds of Unix time. */
export function comeBackAt (code: FailureCode, now: number): number {
  return now + (comeBackMs[code] ?? REJECTED_MS)
}
