/**
 * Adaptive limit of concurrent requests at one backend server. It starts at the
 * configured slots and follows late answers and refusals.
 *
 * Without it, a server with less capacity than configured (another tenant, a
 * throttled accelerator) builds up a queue in which every request misses its
 * deadline. The symptom is a rising time to first token at one server while its
 * peers have room.
 */

/** A first token later than this many times the expected time means that the server is too full. */
const LATE_RATIO = 2

/** Factor for a late answer; about seven of them halve the limit. */
const DECREASE_FACTOR = 0.9

/** Factor for a refusal, which is stronger evidence than a late answer. */
const REFUSAL_DECREASE_FACTOR = 0.7

/** Lateness at a server that uses less than this share of its limit has another cause. */
const FULL_SHARE = 0.75

/** Minimum time between two decreases, so that the late answers of one batch count once. */
const DECREASE_INTERVAL_MS = 250

/** Lower bound, as a share of the slots; a server that is late below it is slow, which the comparison with its peers detects. */
const MIN_SHARE = 0.25

/** Room above the slots, so that the engine's batch is never empty between two requests. */
const SURPLUS_SHARE = 0.125

export class ConcurrencyLimit {
  private limit: number
  /** Earliest time of the next decrease, milliseconds of Unix time. */
  private nextDecreaseAt = 0

  private constructor (private slots: number) {
    this.limit = slots
  }

  static create (slots: number): ConcurrencyLimit {
    return new ConcurrencyLimit(slots)
  }

  get value (): number {
    return this.limit
  }

  /** Restarts from the slots when their configured number changes. */
  resize (slots: number): void {
    if (slots !== this.slots) {
      this.slots = slots
      this.limit = slots
    }
  }

  /**
   * @param ratio observed time to first token divided by the expected one.
   * @param occupancy requests at the server; the limit grows only when they reach it.
   */
  recordFirstToken (ratio: number, occupancy: number, now: number): void {
    if (ratio > LATE_RATIO) {
      this.decrease(occupancy, now)
      return
    }
    if (occupancy >= Math.floor(this.limit)) {
      const maxLimit = this.slots + Math.ceil(this.slots * SURPLUS_SHARE)
      this.limit = Math.min(maxLimit, this.limit + 1 / this.limit)
    }
  }

  private decrease (occupancy: number, now: number): void {
    if (occupancy >= this.limit * FULL_SHARE && now >= this.nextDecreaseAt) {
      this.limit = this.clampLimit(this.limit * DECREASE_FACTOR)
      this.nextDecreaseAt = now + DECREASE_INTERVAL_MS
    }
  }

  recordRefusal (): void {
    this.limit = this.clampLimit(this.limit * REFUSAL_DECREASE_FACTOR)
  }

  private clampLimit (limit: number): number {
    return Math.max(1, this.slots * MIN_SHARE, limit)
  }
}
