/**
 * Exponentially weighted mean of samples. The first ones weigh as in a plain
 * mean in which the prior is one sample, so that a wrong prior soon fades.
 */
export class MovingMean {
  private count = 0

  private constructor (private mean: number, private readonly gain: number) {}

  /** @param gain weight of a new sample in the long run, 0 to 1. @param prior what holds before the first sample. */
  static create (prior: number, gain: number): MovingMean {
    return new MovingMean(prior, gain)
  }

  get value (): number {
    return this.mean
  }

  get samples (): number {
    return this.count
  }

  add (sample: number): void {
    this.count += 1
    this.mean += (sample - this.mean) * Math.max(this.gain, 1 / (this.count + 1))
  }
}
