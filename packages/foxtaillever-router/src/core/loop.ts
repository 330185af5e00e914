/**
 * The main loop of the process. At each tick the systems run over the tables, in
 * order. A tick follows soon after an event, and otherwise at a fixed interval.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** A function that processes the tables at each tick. */
export type System = (now: number) => void

/** Interval at which deadlines are checked while there is work, milliseconds. */
const BUSY_TICK_MS = 20

/** Interval without work, milliseconds; then only the age of the backend servers' data changes. */
const IDLE_TICK_MS = 250

export interface LoopOptions {
  readonly clock: Clock
  readonly systems: readonly System[]
  /** Whether an entry of the tables may become due. */
  readonly isBusy: () => boolean
}

export class Loop {
  private cancel: Cancellation | undefined
  private awake = false
  private stopped = false

  private constructor (private readonly options: LoopOptions) {}

  static create (options: LoopOptions): Loop {
    return new Loop(options)
  }

  /** Requests a tick as soon as possible; several calls lead to one tick. */
  wake (): void {
    if (this.awake || this.stopped) {
      return
    }
    this.awake = true
    this.schedule(this.options.clock.now())
  }

  start (): void {
    this.wake()
  }

  stop (): void {
    this.stopped = true
    this.cancel?.()
  }

  private schedule (deadline: number): void {
    this.cancel?.()
    this.cancel = this.options.clock.at(deadline, () => this.tick())
  }

  private tick (): void {
    this.awake = false
    const { clock, systems, isBusy } = this.options
    const now = clock.now()
    systems.forEach(system => system(now))
    // A system may have requested another tick.
    if (!this.awake && !this.stopped) {
      this.schedule(clock.now() + (isBusy() ? BUSY_TICK_MS : IDLE_TICK_MS))
    }
  }
}
