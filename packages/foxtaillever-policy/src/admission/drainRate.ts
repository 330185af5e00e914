/**
 * How much waiting work this instance gets served a millisecond. Configured
 * slots say what the fleet could do for everybody; only what was drained while
 * jobs waited says what this instance gets of it.
 */
import { MovingMean } from '../collections/movingMean.js'

const WINDOW_MS = 500

/** Three windows or so count. */
const GAIN = 0.3

/** An outage drains nothing; its end must not find every caller refused for hours. */
const LEAST_SHARE = 0.02

export class DrainRate {
  private measured: MovingMean | undefined
  private served = 0
  private windowEnd = 0
  private waitedThroughout = false

  private constructor (private prior: number) {}

  static create (): DrainRate {
    return new DrainRate(1)
  }

  /** @param rate cost a millisecond that is assumed until one is measured. */
  setPrior (rate: number): void {
    this.prior = Math.max(Number.EPSILON, rate)
  }

  /** Cost served a millisecond while jobs wait. */
  get value (): number {
    return this.measured ? Math.max(this.prior * LEAST_SHARE, this.measured.value) : this.prior
  }

  serve (cost: number): void {
    this.served += cost
  }

  tick (jobsWait: boolean, now: number): void {
    this.waitedThroughout &&= jobsWait
    if (now < this.windowEnd) {
      return
    }
    if (this.waitedThroughout) {
      const rate = this.served / (WINDOW_MS + now - this.windowEnd)
      this.measured ??= MovingMean.create(rate, GAIN)
      this.measured.add(rate)
    } else if (!jobsWait) {
      // The queue ran empty: the next one may be served at another rate.
      this.measured = undefined
    }
    this.served = 0
    this.windowEnd = now + WINDOW_MS
    this.waitedThroughout = jobsWait
  }
}
