/**
 * The one loop of the process. Systems run over the tables, in their order, at
 * each tick; a tick follows soon after something happened and in any case when
 * the next stored instant is due.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Something that runs over the tables at each tick. */
export type System = (now: number) => void

/** While there is work, deadlines are looked at this often, milliseconds. */
const BUSY_TICK_MS = 20

/** Without any, only what is known of backend servers grows older, milliseconds. */
const IDLE_TICK_MS = 250

export interface LoopOptions {
  readonly clock: Clock
  readonly systems: readonly System[]
  /** Whether anything in the tables may become due. */
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

  /** Asks for a tick in the next turn; any number of calls make one tick. */
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
    // A system may have asked for another tick.
    if (!this.awake && !this.stopped) {
      this.schedule(clock.now() + (isBusy() ? BUSY_TICK_MS : IDLE_TICK_MS))
    }
  }
}
