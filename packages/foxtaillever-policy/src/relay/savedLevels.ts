/**
 * Which shared prompt levels were recently saved to the store of cached levels.
 *
 * An engine that is instructed to save sends the whole prompt, including the part
 * that no other request will use. If every request were saved, these parts would
 * evict the shared levels from the store within seconds and fill its link, so that
 * fetches wait or find nothing. So only the first request that reads a level saves
 * it, and another one after a while; instances announce their saves to each other.
 */

/**
 * A level is saved again after this, milliseconds: the store may have evicted it
 * or restarted empty, and reading a level again within ten seconds of its last use
 * has a price.
 */
const RENEWAL_MS = 10_000

/**
 * Messages that announce a save of this instance. Where each message goes to a
 * third of the instances, 97 in 100 receive at least one; where each goes to all,
 * the repetition makes up for lost datagrams.
 */
const ANNOUNCEMENTS_PER_SAVE = 8

/** Maximum of remembered levels, some 100 bytes each; more are in use only where each is rarely requested. */
const MAX_LEVELS = 20_000

/** Maximum of saves announced in one message, so that it fits into one datagram. */
const MAX_ANNOUNCED_LEVELS = 64

enum SaveState {
  /** A request of this instance claimed the save and has not been answered yet. */
  Pending,
  /** A request of this instance has read the level; the engine is sending it to the store. */
  Own,
  /** Another instance announced the save. */
  Announced
}

interface Save {
  /** Milliseconds of Unix time. */
  readonly at: number
  readonly state: SaveState
}

export class SavedLevels {
  /** By level; the oldest first. */
  private readonly saves = new Map<number, Save>()
  /** Saves of this instance, and in how many more messages to announce each. */
  private readonly pendingAnnouncements = new Map<number, number>()

  private constructor () {}

  static create (): SavedLevels {
    return new SavedLevels()
  }

  /** Whether a level was saved recently or is about to be. */
  isSavedRecently (level: number, now: number): boolean {
    const last = this.saves.get(level)
    return last !== undefined && last.at + RENEWAL_MS > now
  }

  /** Whether a request that reads the level is to save it; if so, no other request of this instance does. */
  claimSave (level: number, now: number): boolean {
    if (this.isSavedRecently(level, now)) {
      return false
    }
    this.record(level, { at: now, state: SaveState.Pending })
    return true
  }

  /** Records levels that another instance announced as saved. */
  recordAnnounced (levels: readonly number[], now: number): void {
    levels.forEach(level => this.record(level, { at: now, state: SaveState.Announced }))
  }

  /** Records that the request that claimed the save has read the level. */
  confirmSave (level: number, now: number): void {
    this.record(level, { at: now, state: SaveState.Own })
    this.pendingAnnouncements.set(level, ANNOUNCEMENTS_PER_SAVE)
  }

  /** Forgets all saves when a store restarted empty, so that the next requests that read a level save it again. */
  clear (): void {
    this.saves.clear()
    this.pendingAnnouncements.clear()
  }

  /** Releases the claim of a request that failed before it read the level. */
  releaseSave (level: number): void {
    if (this.saves.get(level)?.state === SaveState.Pending) {
      this.saves.delete(level)
    }
  }

  /** Saves of this instance to announce in the next message; the least announced first. */
  nextAnnouncement (): number[] {
    const announced = [...this.pendingAnnouncements].sort(([, a], [, b]) => b - a).slice(0, MAX_ANNOUNCED_LEVELS)
    for (const [level, remaining] of announced) {
      if (remaining > 1) {
        this.pendingAnnouncements.set(level, remaining - 1)
      } else {
        this.pendingAnnouncements.delete(level)
      }
    }
    return announced.map(([level]) => level)
  }

  private record (level: number, save: Save): void {
    this.saves.delete(level)
    this.saves.set(level, save)
    for (const [oldest, { at }] of this.saves) {
      if (this.saves.size <= MAX_LEVELS && at + RENEWAL_MS > save.at) {
        return
      }
      this.saves.delete(oldest)
    }
  }
}
