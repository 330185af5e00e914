/**
 * Claims and outcomes that wait for the next append. One record carries many,
 * since the log takes only several hundred appends a second from all instances
 * together.
 */
import type { Claim, Outcome } from './claim.js'

/** Entries in one record at most; keeps a record well below a megabyte. */
const RECORD_ENTRIES = 1000

/** Outcomes kept while the log is down; the oldest go first, and their requests stay "may have run". */
const OUTCOMES_KEPT = 10_000

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
    this.outcomes = [...this.outcomes, ...outcomes].slice(-OUTCOMES_KEPT)
  }

  /** A claim that no append has taken can be withdrawn; true when it was still here. */
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
    const taken = [...this.claims.values()].slice(0, RECORD_ENTRIES)
    taken.forEach(claim => this.claims.delete(claim.requestId))
    return taken
  }

  takeOutcomes (): Outcome[] {
    return this.outcomes.splice(0, RECORD_ENTRIES)
  }
}
