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
  /** Part of them that was read by the time of the last record. */
  private readTokens = 0
  /** Milliseconds of Unix time. */
  private recordedAt = 0

  private constructor () {}

  static create (): BacklogEstimate {
    return new BacklogEstimate()
  }

  /** @param unreadTokens of all requests that the server has, or that are on their way to it. */
  record (unreadTokens: number, tokensPerMs: number, now: number): void {
    // The tokens of a first event were among those read; what was read of other prompts stays read.
    const finished = Math.max(0, this.unreadTokens - unreadTokens)
    this.readTokens = Math.max(0, this.readBy(tokensPerMs, now) - finished)
    this.unreadTokens = unreadTokens
    this.recordedAt = now
  }

  /** Tokens that are still to be read. */
  tokensAt (tokensPerMs: number, now: number): number {
    return this.unreadTokens - this.readBy(tokensPerMs, now)
  }

  private readBy (tokensPerMs: number, now: number): number {
    return Math.min(MAX_PROGRESS_SHARE * this.unreadTokens, this.readTokens + Math.max(0, now - this.recordedAt) * tokensPerMs)
  }
}
