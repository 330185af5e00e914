/**
 * Retries are paid from a budget that first attempts fill.
 *
 * When a fleet recovers from an outage, every failed request is retried, more than
 * once: three attempts each are three times the load at the time of least capacity,
 * and the outage sustains itself. The symptom is many times more attempts than
 * requests of callers. With a budget, retries stay a share of first attempts,
 * whatever fails.
 */

/** Maximum of saved retries: the batches of two servers that crash, so that an instance with little traffic can move them. */
const MAX_SAVED = 20

export class RetryBudget {
  private saved = MAX_SAVED

  private constructor () {}

  static create (): RetryBudget {
    return new RetryBudget()
  }

  get left (): number {
    return this.saved
  }

  /** @param share retries allowed for each first attempt. */
  addFirstAttempt (share: number): void {
    this.saved = Math.min(MAX_SAVED, this.saved + share)
  }

  /** Takes one retry from the budget; false when none is left. */
  tryRetry (): boolean {
    if (this.saved < 1) {
      return false
    }
    this.saved -= 1
    return true
  }
}
