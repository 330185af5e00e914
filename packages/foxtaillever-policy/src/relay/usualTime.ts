/**
 * How long requests of one kind usually wait for the beginning of their answer,
 * over all backend servers that this instance uses. It follows load: where all
 * servers are slow, none of them is called slow.
 */

/** Part of the distance that one answer moves the estimate: some twenty answers make it new. */
const GAIN = 0.05

export class UsualTime {
  private mean: number | undefined

  private constructor () {}

  static create (): UsualTime {
    return new UsualTime()
  }

  /** Milliseconds; undefined before the first answer. */
  get value (): number | undefined {
    return this.mean
  }

  /** How many times the usual this was; undefined before anything is usual. */
  ratioOf (milliseconds: number): number | undefined {
    return this.mean === undefined || this.mean <= 0 ? undefined : milliseconds / this.mean
  }

  observe (milliseconds: number): void {
    this.mean = this.mean === undefined ? milliseconds : this.mean + GAIN * (milliseconds - this.mean)
  }
}
