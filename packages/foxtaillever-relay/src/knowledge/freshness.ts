/**
 * Up to when this instance knows what the platform's store holds, by its own
 * calls or by what others told, and whether the store was down for everyone.
 */
import { WATCH_SILENCE_MS } from 'foxtaillever-policy/relay/readSchedule'

/** Older than the fleet lets its knowledge become while the store answers anyone, milliseconds. */
const OUTAGE_MS = 2000

/**
 * Entries that expired while the store was down are written again within two
 * seconds of its return; the reading and a little more come on top, milliseconds.
 */
const RETURN_MS = 2200

/** Known once, but no more trusted. */
const DISTRUSTED = 0

export class Freshness {
  /** The servers' entries are known as of then, milliseconds of Unix time. */
  freshAt = -Infinity
  /** Another was last heard to wait at the store for operators' changes, milliseconds of Unix time. */
  private heardWatchAt = -Infinity
  /** Those that were heard to wait there, and when last. */
  private readonly watchers = new Map<string, number>()
  private returnedAt = -Infinity

  private constructor () {}

  static create (): Freshness {
    return new Freshness()
  }

  /**
   * The store answers someone, now.
   * @param isFailing this instance's last call failed: else a gap is its own suspension and no outage.
   */
  noteAnswer (now: number, isFailing: boolean): void {
    if (isFailing && this.freshAt !== -Infinity && now > this.freshAt + OUTAGE_MS) {
      this.returnedAt = now
    }
  }

  /** The store was restored from an older copy, which may lack entries. */
  noteRestored (now: number): void {
    this.returnedAt = now
  }

  /** The entries are known as of then, milliseconds of Unix time. */
  note (at: number): void {
    this.freshAt = Math.max(this.freshAt, at)
  }

  get watchedAt (): number {
    return this.heardWatchAt
  }

  /** Another says whether it waits at the store; when the last one ceases, the next begin in their turn and not after a silence. */
  noteWatch (address: string, isWatching: boolean, now: number): void {
    if (isWatching) {
      this.watchers.set(address, now)
      this.heardWatchAt = now
      return
    }
    const isLast = this.watchers.delete(address) && ![...this.watchers.values()].some(at => at + WATCH_SILENCE_MS > now)
    if (isLast) {
      this.heardWatchAt = Math.min(this.heardWatchAt, now - WATCH_SILENCE_MS)
    }
  }

  /** What is known may be old: this machine was suspended. */
  distrust (): void {
    this.freshAt = Math.min(this.freshAt, DISTRUSTED)
    this.heardWatchAt = -Infinity
    this.watchers.clear()
  }

  /** Until then an entry that is missing may come back, milliseconds of Unix time. */
  get settledAt (): number {
    return this.returnedAt + RETURN_MS
  }
}
