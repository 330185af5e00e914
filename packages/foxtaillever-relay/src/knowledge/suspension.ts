/**
 * Notices that this machine stood still. A frozen process finds its timers late;
 * a suspended machine's steady clock does not count the time, but the clock
 * since its start does. Either way others went on, and what was known is old.
 */
import type { Clock } from 'foxtaillever-core'

/** Timers are late by some hundred milliseconds on a busy machine, milliseconds. */
const STOOD_STILL_MS = 1000

export class Suspension {
  private lookedAt: number
  private lookedUptime: number

  private constructor (private readonly clock: Clock, private readonly uptime: () => number) {
    this.lookedAt = clock.now()
    this.lookedUptime = uptime()
  }

  /** @param uptime seconds since the machine started, suspended or not. */
  static create (clock: Clock, uptime: () => number): Suspension {
    return new Suspension(clock, uptime)
  }

  /**
   * Looks at both clocks.
   * @returns milliseconds that the machine stood still since the last look, beyond the pause; 0 when it ran.
   */
  look (pauseMs: number): number {
    const now = this.clock.now()
    const uptime = this.uptime()
    const passedMs = Math.max(now - this.lookedAt, (uptime - this.lookedUptime) * 1000)
    this.lookedAt = now
    this.lookedUptime = uptime
    const stoodMs = passedMs - pauseMs
    return stoodMs > STOOD_STILL_MS ? stoodMs : 0
  }
}
