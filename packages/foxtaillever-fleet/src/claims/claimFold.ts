/**
 * The deterministic fold of claims and outcomes. The lowest offset under a key
 * wins for ever, or until its owner proves that the request did not run.
 *
 * Why an old key cannot run twice: a claim is void when its key is dated more
 * than `AHEAD_MS` after the platform's own time of the append. So each valid
 * claim was appended no earlier than its key's creation less `AHEAD_MS`. This
 * fold knows every record after `coveredSince`, and calls a key expired when
 * its creation less `AHEAD_MS` is not after that. Hence a claim that is not
 * expired would have been seen. Only the platform's clock enters, never the
 * clock of an instance, and a paused owner does no harm.
 */
import { RecordKind, Verdict, type LogPage, type LogRecord } from 'foxtaillever-core'
import { ClaimDecision, readClaimsRecord, type Claim, type ClaimsRecord, type DecidedClaim, type Outcome, type StandingClaim } from './claim.js'

/** A caller's clock may be this far ahead of the platform's, milliseconds. */
export const AHEAD_MS = 60_000

export interface ClaimFoldOptions {
  /** Claims older than this are forgotten, milliseconds; bounds memory. */
  readonly keptMs: number
  /** The platform keeps records at least this long, milliseconds; 0 trusts only what is read. */
  readonly logRetentionMs: number
}

/** Whether a claim can win is looked up in this order; the first that applies decides. */
type Rule = (claim: Claim, record: LogRecord) => ClaimDecision | undefined

export class ClaimFold {
  private readonly standing = new Map<string, StandingClaim>()
  private covered = Number.NEGATIVE_INFINITY
  private platformTime = Number.NEGATIVE_INFINITY
  private readonly rules: readonly Rule[] = [
    (claim, record) => claim.createdAt > record.appendedAt + AHEAD_MS ? ClaimDecision.Ahead : undefined,
    claim => this.isExpired(claim.createdAt) ? ClaimDecision.Expired : undefined,
    claim => this.compare(claim)
  ]

  private constructor (private readonly options: ClaimFoldOptions) {}

  static create (options: ClaimFoldOptions): ClaimFold {
    return new ClaimFold(options)
  }

  /** All records appended after this instant have been seen; platform's clock. */
  coveredSince (): number {
    return this.covered
  }

  size (): number {
    return this.standing.size
  }

  find (key: string): StandingClaim | undefined {
    return this.standing.get(key)
  }

  /** Whether a claim under a key of this age could have been missed. */
  isExpired (createdAt: number): boolean {
    return createdAt - AHEAD_MS <= this.covered
  }

  /**
   * Notes what has left the log unread; called before the page's records. A
   * reader that starts late, or fell behind retention, has missed records.
   */
  cover (page: LogPage): void {
    const oldest = page.records[0]?.appendedAt ?? page.now
    const promised = page.now - this.options.logRetentionMs
    this.covered = Math.max(this.covered, Math.min(oldest, promised))
  }

  /** Folds the next record; what it decided is returned, claim by claim. */
  read (record: LogRecord): readonly DecidedClaim[] {
    this.platformTime = Math.max(this.platformTime, record.appendedAt)
    this.forget()
    if (record.kind !== RecordKind.Claims && record.kind !== RecordKind.Outcomes) {
      return []
    }
    return readClaimsRecord(record.body).map(body => this.readBody(record, body)).orDefault([])
  }

  private readBody (record: LogRecord, body: ClaimsRecord): readonly DecidedClaim[] {
    body.outcomes.forEach(outcome => this.settle(outcome))
    return body.claims.map(claim => this.decide(claim, record, body))
  }

  private decide (claim: Claim, record: LogRecord, body: ClaimsRecord): DecidedClaim {
    const refusal = this.rules.map(rule => rule(claim, record)).find(decision => decision !== undefined)
    const decision = refusal ?? ClaimDecision.Won
    if (decision === ClaimDecision.Won) {
      const { instance, incarnation } = body
      const { offset, appendedAt } = record
      this.standing.set(claim.key, { claim, offset, instance, incarnation, appendedAt, verdict: undefined })
    }
    return { claim, offset: record.offset, decision, standing: this.standing.get(claim.key) }
  }

  private compare (claim: Claim): ClaimDecision | undefined {
    const standing = this.standing.get(claim.key)
    if (!standing) {
      return undefined
    }
    return standing.claim.digest === claim.digest ? ClaimDecision.Lost : ClaimDecision.KeyReused
  }

  /** A late or repeated outcome of an earlier claim changes nothing. */
  private settle (outcome: Outcome): void {
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

  /** Claims stand in the order of their appends, so the oldest come first. */
  private forget (): void {
    const cut = this.platformTime - this.options.keptMs
    this.covered = Math.max(this.covered, cut)
    for (const [key, { appendedAt }] of this.standing) {
      if (appendedAt > cut) {
        return
      }
      this.standing.delete(key)
    }
  }
}
