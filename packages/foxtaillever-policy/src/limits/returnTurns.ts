/**
 * When refused callers may come back: one after the other, at the pace at which
 * there is room. Told the same instant, all would come back at once and be
 * refused again.
 */

/** Callers' deadlines are no further, milliseconds. */
const MOST_AHEAD_MS = 8000

export class ReturnTurns {
  private nextAt = 0

  private constructor () {}

  static create (): ReturnTurns {
    return new ReturnTurns()
  }

  /**
   * @param roomAt when there is room for the first, milliseconds of Unix time.
   * @param everyMs until there is room for one more, milliseconds.
   */
  next (roomAt: number, everyMs: number, now: number): number {
    const at = Math.min(Math.max(roomAt, this.nextAt), now + MOST_AHEAD_MS)
    this.nextAt = at + everyMs
    return at
  }
}
