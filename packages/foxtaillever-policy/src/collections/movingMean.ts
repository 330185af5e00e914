/** Exponentially weighted mean of samples. */
export class MovingMean {
  private count = 0

  private constructor (private mean: number, private readonly gain: number) {}

  /** @param gain weight of a new sample, 0 to 1. @param prior what holds before the first sample. */
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
    this.mean += (sample - this.mean) * this.gain
  }
}
