/**
 * Limits the new connections of an instance that falls behind while others do not.
 *
 * Load pattern: for some seconds the load balancer hands most new connections of a failure
 * domain or region to one instance. What it has read it owes an answer, but a connection
 * that is closed unread is free to go to another instance. So it keeps only so many
 * of the connections that wait that it is never idle and never late, found by
 * additive-increase, multiplicative-decrease, and turns the others away at once.
 */

/** Delay from which new connections are limited, milliseconds: a busy instance on a part of a core is often late by half of it. */
const TOO_LATE_MS = 100

/** Below this delay the limit rises again, milliseconds. */
const IN_TIME_MS = 50

/** Others must be less late than this share of the own delay: where all are late, a connection fares no better elsewhere. */
const OTHERS_SHARE = 0.5

/** Between two changes of the limit, milliseconds. */
const ADJUST_MS = 100

const DECREASE = 0.7

/** Waiting connections that are kept, at first and at least. */
const FIRST_WINDOW = 8
const MIN_WINDOW = 1

/** The limit ends when nothing was turned away for this long, milliseconds. */
const IDLE_MS = 2000

/** Weight of a new measurement of the delay. */
const SMOOTHING = 0.4

export class ConnectionLimit {
  private delayMs = 0
  /** Most waiting connections that are kept; undefined while new connections are not limited. */
  private window: number | undefined
  private adjustedAt = 0
  private turnedAwayAt = 0

  private constructor () {}

  static create (): ConnectionLimit {
    return new ConnectionLimit()
  }

  get isActive (): boolean {
    return this.window !== undefined
  }

  /** By how much the instance is late, milliseconds, as other instances get to know it. */
  get delay (): number {
    return this.delayMs
  }

  /**
   * @param delayMs by how much the event loop, or the accepting of connections, is late, milliseconds.
   * @param othersDelayMs of the median of the other instances; undefined where none is known.
   */
  observe (delayMs: number, othersDelayMs: number | undefined, now: number): void {
    this.delayMs += SMOOTHING * (delayMs - this.delayMs)
    const isLate = this.delayMs > TOO_LATE_MS
    const areOthersInTime = othersDelayMs !== undefined && othersDelayMs < Math.max(IN_TIME_MS, OTHERS_SHARE * this.delayMs)
    if (this.window === undefined) {
      if (isLate && areOthersInTime) {
        this.window = FIRST_WINDOW
        this.adjustedAt = this.turnedAwayAt = now
      }
    } else if (!areOthersInTime || now >= this.turnedAwayAt + IDLE_MS) {
      this.window = undefined
    } else if (now >= this.adjustedAt + ADJUST_MS) {
      this.adjustedAt = now
      this.window = this.adjusted(this.window)
    }
  }

  /**
   * Whether a new connection is kept.
   * @param kept connections that waited together with this one and are kept.
   */
  admit (kept: number, now: number): boolean {
    if (this.window === undefined || kept < this.window) {
      return true
    }
    this.turnedAwayAt = now
    return false
  }

  /** Whether a connection that has waited for this long, milliseconds, has waited no longer than at an instance in time. */
  isInTime (waitMs: number): boolean {
    return waitMs <= TOO_LATE_MS
  }

  private adjusted (window: number): number {
    if (this.delayMs > TOO_LATE_MS) {
      return Math.max(MIN_WINDOW, window * DECREASE)
    }
    return this.delayMs < IN_TIME_MS ? window + 1 : window
  }
}
