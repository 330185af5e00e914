/**
 * Number of events within a window that ends now. It stores counts of slots, not
 * times, so its size does not depend on the traffic.
 */

/** Slots in a window. */
const SLOTS = 20

export class SlidingCount {
  /** Counts by slot number; the first may be of a slot that lies partly before the window. */
  private readonly counts = new Map<number, number>()
  private sum = 0
  private newest = -Infinity

  private constructor (private readonly slotMs: number) {}

  static create (windowMs: number): SlidingCount {
    return new SlidingCount(windowMs / SLOTS)
  }

  /** @param now milliseconds of Unix time. */
  add (now: number): void {
    this.advance(now)
    this.counts.set(this.newest, (this.counts.get(this.newest) ?? 0) + 1)
    this.sum += 1
  }

  /** The count, or more by the events of a slot that lies partly before the window. */
  atMost (now: number): number {
    this.advance(now)
    return this.sum
  }

  /** The count, or less by the events of a slot that lies partly before the window. */
  atLeast (now: number): number {
    this.advance(now)
    return this.sum - (this.counts.get(this.newest - SLOTS) ?? 0)
  }

  private advance (now: number): void {
    const slot = Math.floor(now / this.slotMs)
    if (slot <= this.newest) {
      return
    }
    this.newest = slot
    for (const [old, count] of this.counts) {
      if (old < slot - SLOTS) {
        this.counts.delete(old)
        this.sum -= count
      }
    }
  }
}
