/**
 * Rate of a quantity a millisecond with exponential decay of old amounts. Stores
 * one number and one time, whatever the traffic.
 */
export class DecayingRate {
  private sum = 0
  private updatedAt = 0

  private constructor (private readonly decayMs: number) {}

  static create (decayMs: number): DecayingRate {
    return new DecayingRate(decayMs)
  }

  add (amount: number, now: number): void {
    this.sum = this.decayedSum(now) + amount
    this.updatedAt = Math.max(this.updatedAt, now)
  }

  /** Amount a millisecond. */
  value (now: number): number {
    return this.decayedSum(now) / this.decayMs
  }

  private decayedSum (now: number): number {
    return now <= this.updatedAt ? this.sum : this.sum * Math.exp((this.updatedAt - now) / this.decayMs)
  }
}
