/**
 * The clock of one simulated process. It may run a little fast or slow and be
 * off by some seconds; while the process is paused its tasks wait, and after
 * its death nothing runs any more.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

export interface ClockError {
  /** Milliseconds that this clock is ahead. */
  readonly offsetMs: number
  /** Milliseconds of this clock for each true one. */
  readonly rate: number
}

export class HeldClock implements Clock {
  private readonly origin: number
  private held: Array<() => void> = []
  private isPaused = false
  private isDead = false

  private constructor (private readonly world: Clock, private readonly error: ClockError) {
    this.origin = world.now()
  }

  static create (world: Clock, error: ClockError): HeldClock {
    return new HeldClock(world, error)
  }

  now (): number {
    return this.origin + this.error.offsetMs + (this.world.now() - this.origin) * this.error.rate
  }

  /** True time at which this clock will show the instant. */
  toWorld (instant: number): number {
    return this.origin + (instant - this.origin - this.error.offsetMs) / this.error.rate
  }

  at (deadline: number, task: () => void): Cancellation {
    return this.atWorld(Math.max(this.world.now(), this.toWorld(deadline)), task)
  }

  /** As `at`, for an instant of true time: when something arrives from outside. */
  atWorld (deadline: number, task: () => void): Cancellation {
    let isCancelled = false
    const run = (): void => {
      if (!isCancelled && !this.isDead) {
        task()
      }
    }
    const cancel = this.world.at(deadline, () => this.isPaused ? this.held.push(run) : run())
    return () => {
      isCancelled = true
      cancel()
    }
  }

  pause (): void {
    this.isPaused = true
  }

  /** All that waited runs at once, in the order in which it became due. */
  wake (): void {
    this.isPaused = false
    const tasks = this.held
    this.held = []
    tasks.forEach(task => task())
  }

  kill (): void {
    this.isDead = true
    this.held = []
  }
}
