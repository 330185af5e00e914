/**
 * The clock of one simulated process. It may run a little fast or slow and be
 * off by some seconds. While the process is paused, its tasks wait; after the
 * process is killed, no task runs any more.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

export interface ClockError {
  /** Milliseconds that this clock is ahead. */
  readonly offsetMs: number
  /** Milliseconds of this clock for each true one. */
  readonly rate: number
}

export class PausableClock implements Clock {
  private readonly origin: number
  private pendingTasks: Array<() => void> = []
  private isPaused = false
  private isDead = false

  private constructor (private readonly world: Clock, private readonly error: ClockError) {
    this.origin = world.now()
  }

  static create (world: Clock, error: ClockError): PausableClock {
    return new PausableClock(world, error)
  }

  now (): number {
    return this.origin + this.error.offsetMs + (this.world.now() - this.origin) * this.error.rate
  }

  /** Converts an instant of this clock to true time. */
  toTrueTime (instant: number): number {
    return this.origin + (instant - this.origin - this.error.offsetMs) / this.error.rate
  }

  at (deadline: number, task: () => void): Cancellation {
    return this.atTrueTime(Math.max(this.world.now(), this.toTrueTime(deadline)), task)
  }

  /** Like `at`, but for an instant of true time, such as the arrival of a message. */
  atTrueTime (deadline: number, task: () => void): Cancellation {
    let isCancelled = false
    const run = (): void => {
      if (!isCancelled && !this.isDead) {
        task()
      }
    }
    const cancel = this.world.at(deadline, () => this.isPaused ? this.pendingTasks.push(run) : run())
    return () => {
      isCancelled = true
      cancel()
    }
  }

  pause (): void {
    this.isPaused = true
  }

  /** Runs all waiting tasks at once, in the order in which they became due. */
  resume (): void {
    this.isPaused = false
    const tasks = this.pendingTasks
    this.pendingTasks = []
    tasks.forEach(task => task())
  }

  kill (): void {
    this.isDead = true
    this.pendingTasks = []
  }
}
