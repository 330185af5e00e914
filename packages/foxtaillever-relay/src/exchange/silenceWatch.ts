/** Detects that a backend server has been silent for too long, with a single timer that is extended when data arrives. */
import { atAfterReading, type Cancellation, type Clock } from 'foxtaillever-core'

export interface SilenceWatchOptions {
  readonly clock: Clock
  /** When the wait for the first data ends, milliseconds of Unix time. */
  readonly firstUntil: number
  /** When the wait for the next data ends after some were received. */
  readonly nextUntil: (receivedAt: number) => number
  /** Called when a wait ends without data, and again after each further wait. */
  readonly onSilent: () => void
}

export class SilenceWatch {
  private until: number
  private cancel: Cancellation = () => {}
  private isStopped = false
  private isPaused = false

  private constructor (private readonly options: SilenceWatchOptions) {
    this.until = options.firstUntil
    this.arm()
  }

  static start (options: SilenceWatchOptions): SilenceWatch {
    return new SilenceWatch(options)
  }

  /** Extends the wait after data arrived. The running timer reads the new end when it fires. */
  recordActivity (): void {
    this.until = this.options.nextUntil(this.options.clock.now())
  }

  /** Reports no silence until `resume`, because nothing is read from the server. */
  pause (): void {
    this.isPaused = true
  }

  /** Begins a new wait if the watch was paused. */
  resume (): void {
    if (this.isPaused) {
      this.isPaused = false
      this.recordActivity()
    }
  }

  stop (): void {
    this.isStopped = true
    this.cancel()
  }

  private arm (): void {
    const { clock, onSilent } = this.options
    const until = this.until
    this.cancel = atAfterReading(clock, until, () => {
      if (this.until <= until) {
        if (!this.isPaused) {
          onSilent()
        }
        this.recordActivity()
      }
      if (!this.isStopped) {
        this.arm()
      }
    })
  }
}
