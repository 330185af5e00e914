/**
 * Which shared prompt levels the store of cached levels got of late.
 *
 * An engine that is told to save sends the whole prompt, the part that no other
 * request will ever use too. With every request saved these parts push the
 * shared levels out of the store within seconds and fill its link, so that
 * fetches wait or find nothing. So a level is saved by the first request that
 * reads it, and again after a while; the instances tell each other which.
 */

/**
 * A level is saved again after this, milliseconds: the store may have lost it,
 * and within ten seconds of its last use reading it once more is priced.
 */
const RENEW_MS = 10_000

/** Own saves are told in each message for this long, milliseconds: two beats, since a datagram may be lost. */
const TOLD_MS = 2_000

/** Levels remembered, some 100 bytes each; more are in use only where each is rarely asked for. */
const MOST_LEVELS = 20_000

/** Saves told in one message, so that it stays one datagram. */
const MOST_TOLD = 64

enum SaveState {
  /** A request of this instance is to save it and has not been answered yet. */
  Pending,
  /** A request of this instance has read it; the engine sends it now. */
  Own,
  /** Another instance said so. */
  Heard
}

interface Save {
  /** Milliseconds of Unix time. */
  readonly at: number
  readonly state: SaveState
}

export class SavedLevels {
  /** By level; the oldest first. */
  private readonly saves = new Map<number, Save>()

  private constructor () {}

  static create (): SavedLevels {
    return new SavedLevels()
  }

  /** Whether a request that reads the level is to save it; if so, others here do not. */
  take (level: number, now: number): boolean {
    const last = this.saves.get(level)
    if (last && last.at + RENEW_MS > now) {
      return false
    }
    this.note(level, { at: now, state: SaveState.Pending })
    return true
  }

  /** Another instance has levels saved. */
  hear (levels: readonly number[], now: number): void {
    levels.forEach(level => this.note(level, { at: now, state: SaveState.Heard }))
  }

  /** The request that was to save the level has read it. */
  confirm (level: number, now: number): void {
    this.note(level, { at: now, state: SaveState.Own })
  }

  /** The request that was to save the level failed first. */
  giveBack (level: number): void {
    if (this.saves.get(level)?.state === SaveState.Pending) {
      this.saves.delete(level)
    }
  }

  /** Own saves that the others may not know yet, the newest first. */
  news (now: number): number[] {
    const news: number[] = []
    for (const [level, { at, state }] of this.saves) {
      if (state === SaveState.Own && at + TOLD_MS > now) {
        news.push(level)
      }
    }
    return news.reverse().slice(0, MOST_TOLD)
  }

  private note (level: number, save: Save): void {
    this.saves.delete(level)
    this.saves.set(level, save)
    for (const [oldest, { at }] of this.saves) {
      if (this.saves.size <= MOST_LEVELS && at + RENEW_MS > save.at) {
        return
      }
      this.saves.delete(oldest)
    }
  }
}
