/** Measures by how much the event loop is late. */
import type { Cancellation, Clock } from 'foxtaillever-core'

const INTERVAL_MS = 50

export class EventLoopMonitor {
  private cancel: Cancellation = () => {}

  private constructor (private readonly clock: Clock, private readonly onMeasured: (delayMs: number) => void) {}

  static create (clock: Clock, onMeasured: (delayMs: number) => void): EventLoopMonitor {
    return new EventLoopMonitor(clock, onMeasured)
  }

  start (): void {
    const dueAt = this.clock.now() + INTERVAL_MS
    this.cancel = this.clock.at(dueAt, () => {
      this.start()
      this.onMeasured(this.clock.now() - dueAt)
    })
  }

  stop (): void {
    this.cancel()
  }
}
