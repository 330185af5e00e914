/**
 * Tracks how recent this instance's data of the platform's store is, by its own
 * calls or by notices of other instances, and whether the store was down for all.
 */
import { WATCH_SILENCE_MS } from 'foxtaillever-policy/relay/readSchedule'

/** Data of this age shows an outage: while the store answers any instance, the fleet keeps its data more recent, milliseconds. */
const OUTAGE_MS = 2000

/**
 * Entries that expired while the store was down are written again within two
 * seconds of its recovery; the rest is for the read and a small margin, milliseconds.
 */
const RECOVERY_GRACE_MS = 2200

/** Value of `freshAt` when data was read once but may be stale; unlike -Infinity, which means never read. */
const INVALIDATED = 0

export class FreshnessTracker {
  /** Time as of which the servers' entries are known, milliseconds of Unix time. */
  freshAt = -Infinity
  /** When another instance last reported that it waits at the store for operators' changes, milliseconds of Unix time. */
  private lastWatchAt = -Infinity
  /** Addresses of the instances that wait at the store, and when each last reported it. */
  private readonly watchers = new Map<string, number>()
  private recoveredAt = -Infinity

  private constructor () {}

  static create (): FreshnessTracker {
    return new FreshnessTracker()
  }

  /**
   * Records that the store answers an instance.
   * @param isFailing whether this instance's last call failed; if not, a gap comes from its own suspension and not from an outage.
   */
  recordStoreAnswer (now: number, isFailing: boolean): void {
    if (isFailing && this.freshAt !== -Infinity && now > this.freshAt + OUTAGE_MS) {
      this.recoveredAt = now
    }
  }

  /** Records that the store was restored from a backup, which may lack entries. */
  recordRestore (now: number): void {
    this.recoveredAt = now
  }

  /** Records that the entries are known as of this time, milliseconds of Unix time. */
  markFresh (at: number): void {
    this.freshAt = Math.max(this.freshAt, at)
  }

  get watchedAt (): number {
    return this.lastWatchAt
  }

  /** Records whether another instance waits at the store. When the last one stops, the next begin in their turn without waiting for a timeout. */
  recordWatch (address: string, isWatching: boolean, now: number): void {
    if (isWatching) {
      this.watchers.set(address, now)
      this.lastWatchAt = now
      return
    }
    const isLast = this.watchers.delete(address) && ![...this.watchers.values()].some(at => at + WATCH_SILENCE_MS > now)
    if (isLast) {
      this.lastWatchAt = Math.min(this.lastWatchAt, now - WATCH_SILENCE_MS)
    }
  }

  /** Marks the data as stale after a suspension of this machine. */
  invalidate (): void {
    this.freshAt = Math.min(this.freshAt, INVALIDATED)
    this.lastWatchAt = -Infinity
    this.watchers.clear()
  }

  /** Until this time a missing entry may be written again, milliseconds of Unix time. */
  get removalsDeferredUntil (): number {
    return this.recoveredAt + RECOVERY_GRACE_MS
  }
}
