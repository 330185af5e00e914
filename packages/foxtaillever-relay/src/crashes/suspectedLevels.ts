/** Levels that the deciding instances announced as suspected, until a request with them is answered. */

/** A suspicion ends after this, milliseconds, as does the evidence behind it. */
const SUSPECTED_MS = 120_000

const MAX_LEVELS = 512

export class SuspectedLevels {
  /** Time of the last crash with the level in flight, milliseconds of Unix time. */
  private readonly crashedAt = new Map<string, number>()
  /** When requests with levels that were suspected were last answered, milliseconds of Unix time: a late notice may be about an earlier crash. */
  private readonly answeredAt = new Map<string, number>()

  private constructor () {}

  static create (): SuspectedLevels {
    return new SuspectedLevels()
  }

  get isEmpty (): boolean {
    return this.crashedAt.size === 0
  }

  /**
   * @param crashedAt time of the last crash with the level in flight, milliseconds of Unix time.
   * @returns whether the level was not suspected before.
   */
  add (level: string, crashedAt: number, now: number): boolean {
    const known = this.crashedAt.get(level)
    if (crashedAt <= (this.answeredAt.get(level) ?? -Infinity) || crashedAt + SUSPECTED_MS <= now || (known === undefined && this.crashedAt.size >= MAX_LEVELS)) {
      return false
    }
    this.crashedAt.set(level, Math.max(crashedAt, known ?? 0))
    return known === undefined
  }

  private isKnown (level: string, now: number): boolean {
    const crashedAt = this.crashedAt.get(level)
    if (crashedAt !== undefined && crashedAt + SUSPECTED_MS <= now) {
      this.crashedAt.delete(level)
      this.answeredAt.delete(level)
      return false
    }
    return crashedAt !== undefined
  }

  /** Whether the level is suspected because of a crash before that time, milliseconds of Unix time. */
  isOpen (level: string, at: number, now: number): boolean {
    return this.isKnown(level, now) && (this.crashedAt.get(level) ?? Infinity) < at
  }

  /** Those of the levels that are suspected. */
  among (levels: readonly string[], now: number): string[] {
    return this.crashedAt.size === 0 ? [] : levels.filter(level => this.isKnown(level, now))
  }

  /** Requests with the levels were answered at that time, milliseconds of Unix time. */
  clear (levels: readonly string[], at: number): void {
    levels.forEach(level => {
      const crashedAt = this.crashedAt.get(level)
      if (crashedAt !== undefined && crashedAt < at) {
        this.crashedAt.delete(level)
        this.answeredAt.set(level, at)
      }
    })
    if (this.answeredAt.size > MAX_LEVELS) {
      this.answeredAt.clear()
    }
  }

  remove (level: string): void {
    this.crashedAt.delete(level)
  }
}
