/**
 * The one loop of the process. Systems run over the tables, in their order, at
 * each tick; a tick follows soon after something happened and in any case when
 * the next stored instant is due.
 */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Something that runs over the tables at each tick. */
export type System = (now: number) => void

/** A quiet process still looks at its deadlines this often, milliseconds. */
const QUIET_TICK_MS = 20

export class Loop {
  private cancel: Cancellation | undefined
  private awake = false
  private stopped = false

  private constructor (private readonly clock: Clock, private readonly systems: readonly System[]) {}

  static create (clock: Clock, systems: readonly System[]): Loop {
    return new Loop(clock, systems)
  }

  /** Asks for a tick in the next turn; any number of calls make one tick. */
  wake (): void {
    if (this.awake || this.stopped) {
      return
    }
    this.awake = true
    this.schedule(this.clock.now())
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
    this.cancel = this.clock.at(deadline, () => this.tick())
  }

  private tick (): void {
    this.awake = false
    const now = this.clock.now()
    this.systems.forEach(system => system(now))
    // A system may have asked for another tick.
    if (!this.awake && !this.stopped) {
      this.schedule(this.clock.now() + QUIET_TICK_MS)
    }
  }
}
