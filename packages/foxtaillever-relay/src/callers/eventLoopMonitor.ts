/** Measures by how much the event loop is late. */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Between two measurements, milliseconds. A loop that is blocked for longer is late by the rest. */
export const INTERVAL_MS = 50

export class EventLoopMonitor {
  private cancel: Cancellation = () => {}
  private largestMs = 0

  private constructor (private readonly clock: Clock, private readonly onMeasured: (delayMs: number) => void) {}

  static create (clock: Clock, onMeasured: (delayMs: number) => void): EventLoopMonitor {
    return new EventLoopMonitor(clock, onMeasured)
  }

  start (): void {
    const dueAt = this.clock.now() + INTERVAL_MS
    this.cancel = this.clock.at(dueAt, () => {
      this.start()
      const delayMs = this.clock.now() - dueAt
      this.largestMs = Math.max(this.largestMs, delayMs)
      this.onMeasured(delayMs)
    })
  }

  /** By how much the event loop was late at most since the last call, milliseconds. */
  takeLargest (): number {
    const { largestMs } = this
    this.largestMs = 0
    return largestMs
  }

  stop (): void {
    this.cancel()
  }
}
