/** Notices that a backend server has been silent for too long, with one timer that follows the last word heard. */
import { atAfterReading, type Cancellation, type Clock } from 'foxtaillever-core'

export interface SilenceWatchOptions {
  readonly clock: Clock
  /** Until when the first word is awaited, milliseconds of Unix time. */
  readonly firstUntil: number
  /** Until when the next word is awaited after one was heard. */
  readonly nextUntil: (heardAt: number) => number
  /** Called again after each further span of silence. */
  readonly onSilent: () => void
}

export class SilenceWatch {
  private until: number
  private cancel: Cancellation = () => {}
  private isStopped = false

  private constructor (private readonly options: SilenceWatchOptions) {
    this.until = options.firstUntil
    this.arm()
  }

  static start (options: SilenceWatchOptions): SilenceWatch {
    return new SilenceWatch(options)
  }

  /** A word came; the timer finds out by itself when it is due. */
  hear (): void {
    this.until = this.options.nextUntil(this.options.clock.now())
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
        onSilent()
        this.hear()
      }
      if (!this.isStopped) {
        this.arm()
      }
    })
  }
}
