/**
 * Whether an instance that has just started may act by the configuration that it
 * read. A store that was restored from an older copy shows an older one until
 * operators write again; instances that ran before know the newest.
 */

/** Others are heard well within this where any are there, milliseconds; beats of a large fleet come each second. */
const LONGEST_WAIT_MS = 1500

export interface StartBeliefs {
  readonly now: number
  /** Of the configuration that was read. */
  readonly revision: number
  /** Of the store; in its first era it was never restored. */
  readonly era: number
  /** Revisions that others act by, as far as they were heard. */
  readonly told: () => readonly number[]
}

export class StartCheck {
  /** Milliseconds of Unix time; undefined before the first look. */
  private waitsUntil: number | undefined
  private isOver = false

  private constructor () {}

  static create (): StartCheck {
    return new StartCheck()
  }

  /** Stays true once it was. */
  isPassed ({ now, revision, era, told }: StartBeliefs): boolean {
    if (!this.isOver) {
      this.waitsUntil ??= now + LONGEST_WAIT_MS
      const highest = Math.max(...told())
      this.isOver = era === 0 || now >= this.waitsUntil || (highest >= 0 && highest <= revision)
    }
    return this.isOver
  }
}
