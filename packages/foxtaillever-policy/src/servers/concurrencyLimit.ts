/**
 * How many requests to have at one backend server at once. The configured slots
 * are where it starts; what the server then does decides.
 *
 * Without it, a server that runs with less than its configured room (another
 * tenant, a throttled accelerator) collects a queue that no caller's deadline
 * survives. One notices a rising time to first token at one server while its
 * peers have room.
 */

/** First token later than this many times the expected: the server is too full. */
const LATE_RATIO = 2

/** Halves the limit in about seven late answers. */
const DECREASE = 0.9

/** A refusal is stronger proof than a late answer. */
const DECREASE_ON_REFUSAL = 0.7

/** Lateness at a server with less than this of its limit taken has another cause. */
const FULL_SHARE = 0.75

/** Late answers of one batch count once. */
const DECREASE_EVERY_MS = 250

/** Below this share of the slots a server is not too full but too slow, which comparison with its peers tells. */
const LEAST_SHARE = 0.25

/** Room above the slots, so that the engine's batch never runs dry between two requests. */
const SURPLUS_SHARE = 0.125

export class ConcurrencyLimit {
  private limit: number
  /** No further decrease before, milliseconds of Unix time. */
  private decreaseAt = 0

  private constructor (private slots: number) {
    this.limit = slots
  }

  static create (slots: number): ConcurrencyLimit {
    return new ConcurrencyLimit(slots)
  }

  get value (): number {
    return this.limit
  }

  /** Takes newly configured slots. */
  resize (slots: number): void {
    if (slots !== this.slots) {
      this.slots = slots
      this.limit = slots
    }
  }

  /**
   * @param ratio observed against expected time to first token.
   * @param occupancy requests at the server; the limit grows only when it binds.
   */
  observe (ratio: number, occupancy: number, now: number): void {
    if (ratio > LATE_RATIO) {
      this.decrease(occupancy, now)
      return
    }
    if (occupancy >= Math.floor(this.limit)) {
      const most = this.slots + Math.ceil(this.slots * SURPLUS_SHARE)
      this.limit = Math.min(most, this.limit + 1 / this.limit)
    }
  }

  private decrease (occupancy: number, now: number): void {
    if (occupancy >= this.limit * FULL_SHARE && now >= this.decreaseAt) {
      this.limit = this.bounded(this.limit * DECREASE)
      this.decreaseAt = now + DECREASE_EVERY_MS
    }
  }

  observeRefusal (): void {
    this.limit = this.bounded(this.limit * DECREASE_ON_REFUSAL)
  }

  private bounded (limit: number): number {
    return Math.max(1, this.slots * LEAST_SHARE, limit)
  }
}
