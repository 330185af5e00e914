/**
 * Model of the rate-limited weight store: one load takes 0.4 s; when more than
 * two go on at once they share its rate, so each takes longer.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** What an engine needs of the store. */
export interface WeightStore {
  load: (done: () => void) => void
}

/** A load alone, milliseconds; from the users' brief. */
const LOAD_MS = 400

/** Loads at once at full rate; from the users' brief. */
const LOADS_AT_FULL_RATE = 2

interface Load {
  leftMs: number
  readonly done: () => void
}

export interface WeightStoreFaults {
  /** Loads stand still. */
  outage: boolean
  /** How many times slower each load is; 1 for none. */
  slowFactor: number
}

export class WeightStoreModel implements WeightStore {
  private loads: Load[] = []
  private advancedAt: number
  private cancelNext: Cancellation = () => {}
  /** Most loads at once so far, for oracles. */
  mostAtOnce = 0
  /** Loads begun so far. */
  begun = 0
  readonly faults: WeightStoreFaults = { outage: false, slowFactor: 1 }

  private constructor (private readonly clock: Clock) {
    this.advancedAt = clock.now()
  }

  static create (clock: Clock): WeightStoreModel {
    return new WeightStoreModel(clock)
  }

  load (done: () => void): void {
    this.advance()
    this.loads.push({ leftMs: LOAD_MS, done })
    this.begun += 1
    this.mostAtOnce = Math.max(this.mostAtOnce, this.loads.length)
    this.plan()
  }

  setFaults (faults: Partial<WeightStoreFaults>): void {
    this.advance()
    Object.assign(this.faults, faults)
    this.plan()
  }

  /** Progress of each load in one millisecond, milliseconds. */
  private rate (): number {
    if (this.faults.outage) {
      return 0
    }
    return Math.min(1, LOADS_AT_FULL_RATE / Math.max(1, this.loads.length)) / this.faults.slowFactor
  }

  private advance (): void {
    const now = this.clock.now()
    const progress = (now - this.advancedAt) * this.rate()
    this.advancedAt = now
    this.loads.forEach(load => { load.leftMs -= progress })
  }

  private plan (): void {
    this.cancelNext()
    const least = Math.min(...this.loads.map(load => load.leftMs))
    if (this.loads.length === 0 || this.rate() === 0) {
      return
    }
    this.cancelNext = this.clock.at(this.clock.now() + Math.max(0, least) / this.rate(), () => this.finishDue())
  }

  private finishDue (): void {
    this.advance()
    // Rounding leaves a trace of a load that is done.
    const due = this.loads.filter(load => load.leftMs < 0.001)
    this.loads = this.loads.filter(load => !due.includes(load))
    this.plan()
    due.forEach(load => load.done())
  }
}
