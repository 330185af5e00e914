/**
 * The deterministic fold of claims and outcomes. The claim with the lowest
 * offset under a key wins for good, unless its owner proves that the request did
 * not run.
 *
 * Why a request with an old key cannot run twice: a claim is void when its key
 * is dated more than `MAX_CLOCK_AHEAD_MS` after the platform's time of the
 * append. So each valid claim was appended no earlier than its key's creation
 * less `MAX_CLOCK_AHEAD_MS`. This fold knows every record after `coveredSince`,
 * and treats a key as expired when its creation less `MAX_CLOCK_AHEAD_MS` is not
 * after that. Hence the fold has seen every earlier claim under a key that is
 * not expired. Only the platform's clock is used, never the clock of an
 * instance, so a paused owner does no harm.
 */
import { RecordKind, Verdict, type LogPage, type LogRecord } from 'foxtaillever-core'
import { ClaimDecision, readClaimsRecord, type Claim, type ClaimsRecord, type DecidedClaim, type Outcome, type StandingClaim } from './claim.js'

/** How far a caller's clock may be ahead of the platform's, milliseconds. */
export const MAX_CLOCK_AHEAD_MS = 60_000

export interface ClaimFoldOptions {
  /** Claims older than this are removed, milliseconds; bounds memory. */
  readonly claimRetentionMs: number
  /** The platform keeps records at least this long, milliseconds; with 0 only the records read count. */
  readonly logRetentionMs: number
}

/** Returns why a claim loses, or undefined. Rules are checked in order; the first that applies decides. */
type Rule = (claim: Claim, record: LogRecord) => ClaimDecision | undefined

export class ClaimFold {
  private readonly standing = new Map<string, StandingClaim>()
  private covered = Number.NEGATIVE_INFINITY
  private platformTime = Number.NEGATIVE_INFINITY
  private readonly rules: readonly Rule[] = [
    (claim, record) => claim.createdAt > record.appendedAt + MAX_CLOCK_AHEAD_MS ? ClaimDecision.Ahead : undefined,
    claim => this.isExpired(claim.createdAt) ? ClaimDecision.Expired : undefined,
    claim => this.compareWithStanding(claim)
  ]

  private constructor (private readonly options: ClaimFoldOptions) {}

  static create (options: ClaimFoldOptions): ClaimFold {
    return new ClaimFold(options)
  }

  /** All records appended after this time on the platform's clock have been read. */
  coveredSince (): number {
    return this.covered
  }

  size (): number {
    return this.standing.size
  }

  find (key: string): StandingClaim | undefined {
    return this.standing.get(key)
  }

  /** Whether this fold could have missed a claim under a key created at this time. */
  isExpired (createdAt: number): boolean {
    return createdAt - MAX_CLOCK_AHEAD_MS <= this.covered
  }

  /**
   * Accounts for records that expired from the log unread; called before the
   * page's records are applied. A reader that starts late, or fell behind
   * retention, has missed records.
   */
  updateCoverage (page: LogPage): void {
    const oldest = page.records[0]?.appendedAt ?? page.now
    const retainedSince = page.now - this.options.logRetentionMs
    this.covered = Math.max(this.covered, Math.min(oldest, retainedSince))
  }

  /** Folds the next record; returns the decision on each of its claims. */
  applyRecord (record: LogRecord): readonly DecidedClaim[] {
    this.platformTime = Math.max(this.platformTime, record.appendedAt)
    this.removeExpired()
    if (record.kind !== RecordKind.Claims && record.kind !== RecordKind.Outcomes) {
      return []
    }
    return readClaimsRecord(record.body).map(body => this.applyBody(record, body)).orDefault([])
  }

  private applyBody (record: LogRecord, body: ClaimsRecord): readonly DecidedClaim[] {
    body.outcomes.forEach(outcome => this.applyOutcome(outcome))
    return body.claims.map(claim => this.decideClaim(claim, record, body))
  }

  private decideClaim (claim: Claim, record: LogRecord, body: ClaimsRecord): DecidedClaim {
    const refusal = this.rules.map(rule => rule(claim, record)).find(decision => decision !== undefined)
    const decision = refusal ?? ClaimDecision.Won
    if (decision === ClaimDecision.Won) {
      const { instance, incarnation } = body
      const { offset, appendedAt } = record
      this.standing.set(claim.key, { claim, offset, instance, incarnation, appendedAt, verdict: undefined })
    }
    return { claim, offset: record.offset, decision, standing: this.standing.get(claim.key) }
  }

  private compareWithStanding (claim: Claim): ClaimDecision | undefined {
    const standing = this.standing.get(claim.key)
    if (!standing) {
      return undefined
    }
    return standing.claim.digest === claim.digest ? ClaimDecision.Lost : ClaimDecision.KeyReused
  }

  /** Ignores a late or repeated outcome of an earlier claim. */
  private applyOutcome (outcome: Outcome): void {
    const standing = this.standing.get(outcome.key)
    if (standing?.offset !== outcome.claimOffset || standing.claim.requestId !== outcome.requestId || standing.verdict !== undefined) {
      return
    }
    if (outcome.verdict === Verdict.NotRun) {
      this.standing.delete(outcome.key)
      return
    }
    this.standing.set(outcome.key, { ...standing, verdict: outcome.verdict })
  }

  /** The map holds claims in the order of their appends, so the oldest come first. */
  private removeExpired (): void {
    const cut = this.platformTime - this.options.claimRetentionMs
    this.covered = Math.max(this.covered, cut)
    for (const [key, { appendedAt }] of this.standing) {
      if (appendedAt > cut) {
        return
      }
      this.standing.delete(key)
    }
  }
}
