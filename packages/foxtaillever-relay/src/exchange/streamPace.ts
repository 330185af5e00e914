/** When the pieces of a streamed answer went to the caller: its objectives are the first of them and the longest pause after it. */
export class StreamPace {
  /** Milliseconds of Unix time; undefined before the first piece. */
  private firstAt: number | undefined
  private lastAt = 0
  private longestMs = 0

  private constructor () {}

  static create (): StreamPace {
    return new StreamPace()
  }

  /** A piece goes to the caller. */
  observe (now: number): void {
    if (this.firstAt === undefined) {
      this.firstAt = now
    } else {
      this.longestMs = Math.max(this.longestMs, now - this.lastAt)
    }
    this.lastAt = now
  }

  /** For the log, milliseconds; nothing without a piece. */
  since (arrivedAt: number): { readonly firstMs: number, readonly pauseMs: number } | undefined {
    return this.firstAt === undefined ? undefined : { firstMs: Math.round(this.firstAt - arrivedAt), pauseMs: Math.round(this.longestMs) }
  }
}
