/**
 * Claims and outcomes that wait for the next append. One record carries many of
 * them, since the log accepts only several hundred appends a second from all
 * instances together.
 */
import type { Claim, Outcome } from './claim.js'

/** Limits the claims and the outcomes in one record; keeps the record well below a megabyte. */
const MAX_RECORD_ENTRIES = 1000

/** Outcomes buffered while the log is down; the oldest are dropped first, and their requests stay "may have run". */
const MAX_BUFFERED_OUTCOMES = 10_000

export class ClaimBatch {
  private readonly claims = new Map<string, Claim>()
  private outcomes: Outcome[] = []

  private constructor () {}

  static create (): ClaimBatch {
    return new ClaimBatch()
  }

  addClaim (claim: Claim): void {
    this.claims.set(claim.requestId, claim)
  }

  addOutcomes (outcomes: readonly Outcome[]): void {
    this.outcomes = [...this.outcomes, ...outcomes].slice(-MAX_BUFFERED_OUTCOMES)
  }

  /** Withdraws a claim that no append has taken yet; returns whether it was still in the batch. */
  withdraw (requestId: string): boolean {
    return this.claims.delete(requestId)
  }

  hasClaims (): boolean {
    return this.claims.size > 0
  }

  isEmpty (): boolean {
    return this.claims.size === 0 && this.outcomes.length === 0
  }

  takeClaims (): Claim[] {
    const taken = [...this.claims.values()].slice(0, MAX_RECORD_ENTRIES)
    taken.forEach(claim => this.claims.delete(claim.requestId))
    return taken
  }

  takeOutcomes (): Outcome[] {
    return this.outcomes.splice(0, MAX_RECORD_ENTRIES)
  }
}
