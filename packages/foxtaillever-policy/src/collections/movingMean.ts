/**
 * Exponentially weighted mean of samples. The first samples count as in a plain
 * mean with the prior as one sample, so that a wrong prior soon loses weight.
 */
export class MovingMean {
  private count = 0

  private constructor (private mean: number, private readonly gain: number) {}

  /** @param gain weight of a new sample in the long run, 0 to 1. @param prior value before the first sample. */
  static create (prior: number, gain: number): MovingMean {
    return new MovingMean(prior, gain)
  }

  get value (): number {
    return this.mean
  }

  get sampleCount (): number {
    return this.count
  }

  add (sample: number): void {
    this.count += 1
    this.mean += (sample - this.mean) * Math.max(this.gain, 1 / (this.count + 1))
  }
}
