/**
 * Estimates the prompt tokens that a backend server has yet to read.
 *
 * Reports count a prompt as unread until its first event. A prompt of 9,000 tokens
 * takes 240 ms at some engines: without credit for the part that is read by now, the
 * next request would arrive after the engine has become idle.
 */

/**
 * Maximum share of the unread tokens that counts as read since the last first event. A
 * server that has stopped shows no first events: with all of it counted as read, it would
 * be sent requests at its full rate.
 */
const MAX_PROGRESS_SHARE = 0.75

export class BacklogEstimate {
  private unreadTokens = 0
  /** Since when the server has read the prompt that it reads now, milliseconds of Unix time. */
  private readingSince = 0

  private constructor () {}

  static create (): BacklogEstimate {
    return new BacklogEstimate()
  }

  /** @param unreadTokens of all requests that the server has, or that are on their way to it. */
  record (unreadTokens: number, now: number): void {
    if (this.unreadTokens === 0 || unreadTokens < this.unreadTokens) {
      this.readingSince = now
    }
    this.unreadTokens = unreadTokens
  }

  /** Tokens that are still to be read. */
  tokensAt (tokensPerMs: number, now: number): number {
    const read = Math.max(0, now - this.readingSince) * tokensPerMs
    return this.unreadTokens - Math.min(MAX_PROGRESS_SHARE * this.unreadTokens, read)
  }
}
