/**
 * Decides whether an instance that has just started may use the configuration that
 * it read. A store that was restored from a backup has an older one until operators
 * write again; instances that ran before have the newest.
 */

/** Heartbeats of other instances arrive well within this time, milliseconds: in a large fleet they are sent each second. */
const MAX_WAIT_MS = 1500

export interface StartState {
  readonly now: number
  /** Revision of the configuration that was read. */
  readonly revision: number
  /** Era of the store; 0 if it was never restored. */
  readonly era: number
  /** Revisions in force at the instances whose heartbeats were received. */
  readonly peerRevisions: () => readonly number[]
}

export class StartCheck {
  /** Milliseconds of Unix time; undefined before the first check. */
  private waitsUntil: number | undefined
  private hasPassed = false

  private constructor () {}

  static create (): StartCheck {
    return new StartCheck()
  }

  /** Stays true after it was true once. */
  isPassed ({ now, revision, era, peerRevisions }: StartState): boolean {
    if (!this.hasPassed) {
      this.waitsUntil ??= now + MAX_WAIT_MS
      const highest = Math.max(...peerRevisions())
      this.hasPassed = era === 0 || now >= this.waitsUntil || (highest >= 0 && highest <= revision)
    }
    return this.hasPassed
  }
}
