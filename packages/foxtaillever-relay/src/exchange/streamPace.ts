/** Measures when the chunks of a streamed answer were sent to the caller. The objectives of a stream are the time to its first chunk and the longest pause after that. */
export class StreamPace {
  /** Milliseconds of Unix time; undefined before the first chunk. */
  private firstAt: number | undefined
  private lastAt = 0
  private longestMs = 0

  private constructor () {}

  static create (): StreamPace {
    return new StreamPace()
  }

  /** Records that a chunk was sent to the caller. */
  recordChunk (now: number): void {
    if (this.firstAt === undefined) {
      this.firstAt = now
    } else {
      this.longestMs = Math.max(this.longestMs, now - this.lastAt)
    }
    this.lastAt = now
  }

  /** Time to the first chunk and longest pause, for the log, milliseconds; undefined before the first chunk. */
  measureSince (arrivedAt: number): { readonly firstMs: number, readonly pauseMs: number } | undefined {
    return this.firstAt === undefined ? undefined : { firstMs: Math.round(this.firstAt - arrivedAt), pauseMs: Math.round(this.longestMs) }
  }
}
