/** Delays a value by a lag, from samples taken when it changes. */
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

  /** Adds a sample; drops samples too old for a reader with this lag. */
  addSample (value: Value, lagMs: number): void {
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
