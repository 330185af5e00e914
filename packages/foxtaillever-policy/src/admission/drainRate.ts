/**
 * Measures how much cost of waiting jobs this instance gets served a
 * millisecond. The configured slots give the capacity of the fleet for all
 * instances; the share of this instance shows only in the cost that it sent
 * while jobs waited.
 */
import { MovingMean } from '../collections/movingMean.js'

const WINDOW_MS = 500

/** The mean covers about three windows. */
const GAIN = 0.3

/** Minimum rate as a share of the prior: an outage drains nothing, but callers must not be refused for hours after it. */
const MIN_SHARE = 0.02

export class DrainRate {
  private measured: MovingMean | undefined
  private sentCost = 0
  private windowEnd = 0
  private waitedThroughout = false

  private constructor (private prior: number) {}

  static create (): DrainRate {
    return new DrainRate(1)
  }

  /** @param rate cost a millisecond, assumed until a rate is measured. */
  setPrior (rate: number): void {
    this.prior = Math.max(Number.EPSILON, rate)
  }

  /** Cost served a millisecond while jobs wait. */
  get value (): number {
    return this.measured ? Math.max(this.prior * MIN_SHARE, this.measured.value) : this.prior
  }

  recordSent (cost: number): void {
    this.sentCost += cost
  }

  tick (jobsWait: boolean, now: number): void {
    this.waitedThroughout &&= jobsWait
    if (now < this.windowEnd) {
      return
    }
    if (this.waitedThroughout) {
      const rate = this.sentCost / (WINDOW_MS + now - this.windowEnd)
      this.measured ??= MovingMean.create(rate, GAIN)
      this.measured.add(rate)
    } else if (!jobsWait) {
      // The queue is empty; later jobs may be served at another rate.
      this.measured = undefined
    }
    this.sentCost = 0
    this.windowEnd = now + WINDOW_MS
    this.waitedThroughout = jobsWait
  }
}
