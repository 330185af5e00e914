/**
 * A rate with a burst: fills steadily up to a bound, and what is taken in goes
 * off it. A request is taken in while anything is left and may leave a debt, so
 * that large requests do not starve behind small ones, nor small behind large.
 * Over any time the sum taken is at most the burst, the rate times that time,
 * and one request.
 */
export class TokenBucket {
  private constructor (private tokens: number, private filledAt: number) {}

  /** @param now milliseconds of Unix time. */
  static create (tokens: number, now: number): TokenBucket {
    return new TokenBucket(tokens, now)
  }

  /** Negative while it is in debt. */
  get level (): number {
    return this.tokens
  }

  /** What came in since it was filled last; a bound that has fallen takes off what lies above it. */
  fill (perMs: number, most: number, now: number): void {
    this.tokens = Math.min(most, this.tokens + Math.max(0, now - this.filledAt) * perMs)
    this.filledAt = Math.max(this.filledAt, now)
  }

  /** Keeps no more than this, and fills from this instant on, or from when it was filled last where that is later. */
  beginAnew (most: number, from: number): void {
    this.tokens = Math.min(most, this.tokens)
    this.filledAt = Math.max(this.filledAt, from)
  }

  take (tokens: number): void {
    this.tokens -= tokens
  }

  /** What was taken for nothing. */
  giveBack (tokens: number): void {
    this.tokens += tokens
  }

  /** Milliseconds until something is left again, at this rate. */
  emptyForMs (perMs: number): number {
    return this.tokens > 0 ? 0 : -this.tokens / perMs
  }
}
