/**
 * Retries are paid from a budget that first tries fill.
 *
 * When a fleet comes back from an outage, every request that failed is tried
 * again, and again: three tries each are three times the load at the moment of
 * least capacity, and the outage goes on by itself. One notices sends many
 * times the callers' requests. With a budget the retries stay a share of first
 * tries, whatever fails.
 */

/** Saved up at most: the batches of two servers that crash, so that a quiet instance can move them. */
const MOST_SAVED = 20

export class RetryBudget {
  private saved = MOST_SAVED

  private constructor () {}

  static create (): RetryBudget {
    return new RetryBudget()
  }

  get left (): number {
    return this.saved
  }

  /** @param share retries allowed for each first try. */
  addFirstTry (share: number): void {
    this.saved = Math.min(MOST_SAVED, this.saved + share)
  }

  /** Whether one retry is paid for. */
  take (): boolean {
    if (this.saved < 1) {
      return false
    }
    this.saved -= 1
    return true
  }
}
