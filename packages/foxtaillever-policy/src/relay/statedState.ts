/**
 * What one start of a backend server has stated of itself, and from when on it takes
 * requests by that.
 *
 * The load it answers: a server leaves while the platform's store is away. Its answers
 * are the only ones who say so, and whatever else is heard of it meanwhile is older.
 */
export class StatedState {
  /** When an answer last said that it leaves, milliseconds of Unix time; undefined when it does not leave. */
  private leavingAt: number | undefined

  private constructor () {}

  static create (): StatedState {
    return new StatedState()
  }

  get isLeaving (): boolean {
    return this.leavingAt !== undefined
  }

  /** From when on it takes requests, milliseconds of Unix time; Infinity for never again. */
  get opensAt (): number {
    return this.isLeaving ? Infinity : 0
  }

  /**
   * It leaves.
   * @param heardAt when an answer said so, milliseconds of Unix time; 0 for an older word.
   * @returns whether that is news.
   */
  observeLeaving (heardAt: number): boolean {
    const isNews = !this.isLeaving
    this.leavingAt = Math.max(this.leavingAt ?? 0, heardAt)
    return isNews
  }

  /**
   * What the next start of the server has stated before anybody knew that it had started:
   * an answer that came after that was its own.
   */
  since (startedAt: number): StatedState {
    const next = StatedState.create()
    if (this.leavingAt !== undefined && this.leavingAt >= startedAt) {
      next.observeLeaving(this.leavingAt)
    }
    return next
  }
}
