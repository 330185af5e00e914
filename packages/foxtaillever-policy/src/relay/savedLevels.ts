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
 * A level is saved again after this, milliseconds: the store may have dropped
 * it or come back empty, and within ten seconds of its last use reading it once
 * more is priced.
 */
const RENEW_MS = 10_000

/**
 * Messages in which an own save is told. Where each goes to a third of the
 * instances, 97 in 100 have heard of it by then; where each goes to all, it
 * outlasts the loss of datagrams.
 */
const TIMES_TOLD = 8

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
  /** Own saves, and in how many messages each is yet to be told. */
  private readonly untold = new Map<number, number>()

  private constructor () {}

  static create (): SavedLevels {
    return new SavedLevels()
  }

  /** Whether a level was saved of late, or is about to be. */
  has (level: number, now: number): boolean {
    const last = this.saves.get(level)
    return last !== undefined && last.at + RENEW_MS > now
  }

  /** Whether a request that reads the level is to save it; if so, others here do not. */
  take (level: number, now: number): boolean {
    if (this.has(level, now)) {
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
    this.untold.set(level, TIMES_TOLD)
  }

  /** A store restarted empty: what it lacks is saved by the next requests that read it. */
  forget (): void {
    this.saves.clear()
    this.untold.clear()
  }

  /** The request that was to save the level failed first. */
  giveBack (level: number): void {
    if (this.saves.get(level)?.state === SaveState.Pending) {
      this.saves.delete(level)
    }
  }

  /** Own saves for one message to the others; those told least often first. */
  tell (): number[] {
    const told = [...this.untold].sort(([, one], [, other]) => other - one).slice(0, MOST_TOLD)
    for (const [level, times] of told) {
      if (times > 1) {
        this.untold.set(level, times - 1)
      } else {
        this.untold.delete(level)
      }
    }
    return told.map(([level]) => level)
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
