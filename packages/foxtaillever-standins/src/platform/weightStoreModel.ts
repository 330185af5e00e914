/**
 * Model of the rate-limited weight store: a load takes 0.4 s. More than two
 * concurrent loads share its rate, so each takes longer.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Operation of the store that engines use. */
export interface WeightStore {
  load: (done: () => void) => void
}

/** Duration of a load at full rate, milliseconds; given by the users. */
const LOAD_MS = 400

/** Concurrent loads that run at full rate; given by the users. */
const LOADS_AT_FULL_RATE = 2

interface Load {
  leftMs: number
  readonly done: () => void
}

export interface WeightStoreFaults {
  /** Loads make no progress. */
  outage: boolean
  /** Factor by which each load is slower; 1 for normal speed. */
  slowFactor: number
}

export class WeightStoreModel implements WeightStore {
  private loads: Load[] = []
  private advancedAt: number
  private cancelNext: Cancellation = () => {}
  /** Most concurrent loads so far, for oracles. */
  maxConcurrentLoads = 0
  /** Loads started so far. */
  loadsStarted = 0
  readonly faults: WeightStoreFaults = { outage: false, slowFactor: 1 }

  private constructor (private readonly clock: Clock) {
    this.advancedAt = clock.now()
  }

  static create (clock: Clock): WeightStoreModel {
    return new WeightStoreModel(clock)
  }

  load (done: () => void): void {
    this.updateProgress()
    this.loads.push({ leftMs: LOAD_MS, done })
    this.loadsStarted += 1
    this.maxConcurrentLoads = Math.max(this.maxConcurrentLoads, this.loads.length)
    this.scheduleNextFinish()
  }

  setFaults (faults: Partial<WeightStoreFaults>): void {
    this.updateProgress()
    Object.assign(this.faults, faults)
    this.scheduleNextFinish()
  }

  /** Progress of each load in one millisecond, milliseconds. */
  private rate (): number {
    if (this.faults.outage) {
      return 0
    }
    return Math.min(1, LOADS_AT_FULL_RATE / Math.max(1, this.loads.length)) / this.faults.slowFactor
  }

  private updateProgress (): void {
    const now = this.clock.now()
    const progress = (now - this.advancedAt) * this.rate()
    this.advancedAt = now
    this.loads.forEach(load => { load.leftMs -= progress })
  }

  private scheduleNextFinish (): void {
    this.cancelNext()
    const minLeftMs = Math.min(...this.loads.map(load => load.leftMs))
    if (this.loads.length === 0 || this.rate() === 0) {
      return
    }
    this.cancelNext = this.clock.at(this.clock.now() + Math.max(0, minLeftMs) / this.rate(), () => this.finishDue())
  }

  private finishDue (): void {
    this.updateProgress()
    // Rounding may leave a small remainder of a load that is done.
    const due = this.loads.filter(load => load.leftMs < 0.001)
    this.loads = this.loads.filter(load => !due.includes(load))
    this.scheduleNextFinish()
    due.forEach(load => load.done())
  }
}
