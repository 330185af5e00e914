/**
 * A rate limit with a burst: the bucket fills steadily up to a bound, and each request
 * takes tokens from it. A request is accepted while any tokens are left and may leave
 * a debt, so that large requests do not starve behind small ones, nor small behind
 * large. Over any time the sum taken is at most the burst, the rate times that time,
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

  /** Adds the tokens since the last fill, up to the bound; tokens above a lowered bound are dropped. */
  fill (perMs: number, most: number, now: number): void {
    this.tokens = Math.min(most, this.tokens + Math.max(0, now - this.filledAt) * perMs)
    this.filledAt = Math.max(this.filledAt, now)
  }

  /** Drops tokens above the bound and fills from then on, or from the last fill where that is later. */
  restart (most: number, from: number): void {
    this.tokens = Math.min(most, this.tokens)
    this.filledAt = Math.max(this.filledAt, from)
  }

  take (tokens: number): void {
    this.tokens -= tokens
  }

  /** Puts back tokens that were taken but not used. */
  refund (tokens: number): void {
    this.tokens += tokens
  }

  /** Milliseconds until tokens are left again, at this rate. */
  msUntilAvailable (perMs: number): number {
    return this.tokens > 0 ? 0 : -this.tokens / perMs
  }
}
