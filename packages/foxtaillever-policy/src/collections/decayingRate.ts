/**
 * Rate of a quantity a millisecond, in which old amounts fade. One number and
 * one time, whatever the traffic.
 */
export class DecayingRate {
  private sum = 0
  private at = 0

  private constructor (private readonly fadeMs: number) {}

  static create (fadeMs: number): DecayingRate {
    return new DecayingRate(fadeMs)
  }

  add (amount: number, now: number): void {
    this.sum = this.faded(now) + amount
    this.at = Math.max(this.at, now)
  }

  /** Amount a millisecond. */
  value (now: number): number {
    return this.faded(now) / this.fadeMs
  }

  private faded (now: number): number {
    return now <= this.at ? this.sum : this.sum * Math.exp((this.at - now) / this.fadeMs)
  }
}
