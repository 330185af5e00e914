/** A value as it was some time ago, kept from samples taken at its changes. */
import type { Clock } from 'foxtaillever-core'

interface Sample<Value> {
  readonly takenAt: number
  readonly value: Value
}

export class LaggedValue<Value> {
  private samples: Array<Sample<Value>> = []

  private constructor (private readonly clock: Clock) {}

  static create<Value> (clock: Clock): LaggedValue<Value> {
    return new LaggedValue<Value>(clock)
  }

  /** Takes a sample; drops those that no reader with this lag sees any more. */
  put (value: Value, lagMs: number): void {
    const now = this.clock.now()
    this.samples.push({ takenAt: now, value })
    const newestDue = this.samples.findLastIndex(sample => sample.takenAt <= now - lagMs)
    if (newestDue > 0) {
      this.samples = this.samples.slice(newestDue)
    }
  }

  /** The newest sample that is at least the lag old, else the oldest. */
  get (lagMs: number): Value | undefined {
    const due = this.clock.now() - lagMs
    const sample = this.samples.findLast(candidate => candidate.takenAt <= due) ?? this.samples[0]
    return sample?.value
  }
}
