/**
 * Moving average of the time until answers to one kind of request begin, over all
 * backend servers that this instance uses. It follows the load: where all servers
 * are slow, none of them counts as slow.
 */

/** Weight of each new answer in the moving average: it covers about the last twenty answers. */
const SMOOTHING_FACTOR = 0.05

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

  /** A time as a multiple of the usual time; undefined before the first answer. */
  ratioOf (milliseconds: number): number | undefined {
    return this.mean === undefined || this.mean <= 0 ? undefined : milliseconds / this.mean
  }

  addSample (milliseconds: number): void {
    this.mean = this.mean === undefined ? milliseconds : this.mean + SMOOTHING_FACTOR * (milliseconds - this.mean)
  }
}
