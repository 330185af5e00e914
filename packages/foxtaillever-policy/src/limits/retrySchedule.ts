/**
 * Schedules the retries of refused callers one after the other, at the rate at which
 * capacity becomes available. With the same retry time, all callers would retry at
 * once and be refused again.
 */

/** Maximum time until a retry, milliseconds: no caller's deadline is later. */
const MAX_AHEAD_MS = 8000

export class RetrySchedule {
  private nextAt = 0

  private constructor () {}

  static create (): RetrySchedule {
    return new RetrySchedule()
  }

  /**
   * @param availableAt when there is capacity for the first request, milliseconds of Unix time.
   * @param intervalMs until there is capacity for one more, milliseconds.
   */
  nextRetryAt (availableAt: number, intervalMs: number, now: number): number {
    const at = Math.min(Math.max(availableAt, this.nextAt), now + MAX_AHEAD_MS)
    this.nextAt = at + intervalMs
    return at
  }
}
