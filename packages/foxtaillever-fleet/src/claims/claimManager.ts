/**
 * Claims of one instance. A request is granted only when its claim has been
 * read back from the log and folded as the winner; until then nothing is sent.
 * Whether an append whose answer was lost took effect is found by reading the
 * log, never guessed.
 */
import {
  Failure, FailureCode, RecordKind, Verdict, waitUntil,
  type Cancellation, type Clock, type Log, type LogPage, type LogRecord
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { ClaimBatch } from './claimBatch.js'
import type { ClaimFold } from './claimFold.js'
import { ClaimDecision, type Claim, type ClaimsRecord, type DecidedClaim, type Outcome } from './claim.js'
import { Grant } from './grant.js'
import { refuseClaim } from './refuseClaim.js'

export interface ClaimRequest extends Claim {
  /** Deadline of the request, milliseconds of Unix time. */
  readonly deadline: number
}

export interface ClaimManagerOptions {
  readonly instance: string
  /** Must differ at each start of the instance. */
  readonly incarnation: string
  /** How long claims are collected for one append, milliseconds. */
  readonly claimWindowMs: number
  /** How long outcomes wait for a claim to share an append with, milliseconds. */
  readonly outcomeWindowMs: number
  /** Maximum time that a request waits for its claim, milliseconds. */
  readonly claimWaitMs: number
}

export const defaultClaimOptions = {
  // 9 instances at one append per 20 ms make at most 450 appends a second.
  claimWindowMs: 20,
  outcomeWindowMs: 1000,
  claimWaitMs: 3000
}

/** After this time without an answer, the answer of an append counts as lost, milliseconds. */
const APPEND_WAIT_MS = 1000

/** How long an abandoned claim may still appear in the log, milliseconds. */
const ABANDONED_RETENTION_MS = 600_000

/** A caller whose claim was not confirmed may retry after this, milliseconds: a lost answer of the log is detected by then. */
const RETRY_AFTER_MS = APPEND_WAIT_MS

/** Pause after a refused append, milliseconds. */
const APPEND_PAUSE_MS = 100

interface PendingClaim {
  readonly request: ClaimRequest
  readonly resolve: (result: Either<Failure, Grant>) => void
  readonly cancelTimer: Cancellation
}

type ResolveDecision = (pending: PendingClaim, decided: DecidedClaim) => Either<Failure, Grant>

export class ClaimManager {
  private readonly batch = ClaimBatch.create()
  private readonly pending = new Map<string, PendingClaim>()
  /** Claims abandoned after an append that may have taken effect, each with the time until which it may appear in the log. */
  private readonly abandoned = new Map<string, number>()
  private isStopped = false
  private isAppending = false
  private cancelAppend: Cancellation | undefined
  private appendAt = Number.POSITIVE_INFINITY
  private pausedUntil = 0
  private recordCount = 0

  private constructor (
    private readonly log: Log,
    private readonly fold: ClaimFold,
    private readonly clock: Clock,
    private readonly options: ClaimManagerOptions
  ) {}

  static create (log: Log, fold: ClaimFold, clock: Clock, options: ClaimManagerOptions): ClaimManager {
    return new ClaimManager(log, fold, clock, options)
  }

  /** Called by the log reader when records expired unread. */
  updateCoverage (page: LogPage): void {
    this.fold.updateCoverage(page)
  }

  /** Handles each record from the log reader. */
  applyRecord (record: LogRecord): void {
    const decided = this.fold.applyRecord(record)
    const body = record.body as ClaimsRecord
    if (decided.length > 0 && body.incarnation === this.options.incarnation) {
      decided.forEach(claim => this.handleDecision(claim))
    }
  }

  /** Resolves with a grant only when the claim has won in the log. */
  claim (request: ClaimRequest): Promise<Either<Failure, Grant>> {
    const refusal = this.refuseEarly(request)
    if (refusal) {
      return Promise.resolve(Left(refusal))
    }
    return new Promise(resolve => {
      const expiresAt = Math.min(request.deadline, this.clock.now() + this.options.claimWaitMs)
      const cancelTimer = this.clock.at(expiresAt, () => this.abandonRequest(request.requestId))
      this.pending.set(request.requestId, { request, resolve, cancelTimer })
      const { key, requestId, digest, createdAt } = request
      this.batch.addClaim({ key, requestId, digest, createdAt })
      this.schedule()
    })
  }

  /** The caller has disconnected: its claim is withdrawn, or released if it may be in the log. */
  cancel (requestId: string): void {
    this.abandonRequest(requestId)
  }

  /** Records for all instances how a granted request ended; later calls have no effect. */
  settle (grant: Grant, verdict: Verdict): void {
    if (grant.close()) {
      this.addOutcome(grant.claim, grant.offset, verdict)
    }
  }

  /**
   * Writes the remaining outcomes until the deadline; a request whose outcome is
   * not written stays "may have run" for all other instances.
   */
  async stop (deadline: number): Promise<void> {
    while ((this.isAppending || !this.batch.isEmpty()) && this.clock.now() < deadline) {
      this.flush()
      await waitUntil(this.clock, this.clock.now() + this.options.claimWindowMs)
    }
    this.isStopped = true
    this.cancelAppend?.()
  }

  /** Appends at once, without waiting for more claims. */
  private flush (): void {
    const now = this.clock.now()
    if (!this.isAppending && !this.batch.isEmpty() && now >= this.pausedUntil) {
      this.cancelAppend?.()
      this.append()
    }
  }

  /** Number of requests that wait for their claim. */
  pendingCount (): number {
    return this.pending.size
  }

  private refuseEarly (request: ClaimRequest): Failure | undefined {
    if (this.clock.now() >= request.deadline) {
      return Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed before the request was claimed.')
    }
    const standing = this.fold.find(request.key)
    if (standing) {
      const isSame = standing.claim.digest === request.digest
      return refuseClaim(isSame ? ClaimDecision.Lost : ClaimDecision.KeyReused, standing)
    }
    return this.fold.isExpired(request.createdAt) ? refuseClaim(ClaimDecision.Expired) : undefined
  }

  private handleDecision (decided: DecidedClaim): void {
    const { claim, offset, decision } = decided
    const pending = this.pending.get(claim.requestId)
    if (pending) {
      this.resolvePending(pending, resultByDecision[decision](pending, decided))
      return
    }
    if (this.abandoned.delete(claim.requestId) && decision === ClaimDecision.Won) {
      this.addOutcome(claim, offset, Verdict.NotRun)
    }
  }

  private resolvePending (pendingClaim: PendingClaim, result: Either<Failure, Grant>): void {
    pendingClaim.cancelTimer()
    this.pending.delete(pendingClaim.request.requestId)
    pendingClaim.resolve(result)
  }

  private abandonRequest (requestId: string): void {
    const pending = this.pending.get(requestId)
    if (!pending) {
      return
    }
    if (!this.batch.withdraw(requestId)) {
      this.rememberAbandoned(requestId)
    }
    const retryAt = this.clock.now() + RETRY_AFTER_MS
    this.resolvePending(pending, Left(Failure.notRun(FailureCode.LogUnavailable, 'The log did not confirm the claim in time; nothing was sent.', retryAt)))
  }

  private rememberAbandoned (requestId: string): void {
    const now = this.clock.now()
    for (const [id, until] of this.abandoned) {
      if (until > now) {
        break
      }
      this.abandoned.delete(id)
    }
    this.abandoned.set(requestId, now + ABANDONED_RETENTION_MS)
  }

  private addOutcome (claim: Claim, claimOffset: number, verdict: Verdict): void {
    this.batch.addOutcomes([{ key: claim.key, requestId: claim.requestId, claimOffset, verdict }])
    this.schedule()
  }

  private schedule (): void {
    if (this.isStopped || this.isAppending || this.batch.isEmpty()) {
      return
    }
    const windowMs = this.batch.hasClaims() ? this.options.claimWindowMs : this.options.outcomeWindowMs
    const appendTime = Math.max(this.clock.now() + windowMs, this.pausedUntil)
    if (appendTime >= this.appendAt) {
      return
    }
    this.cancelAppend?.()
    this.appendAt = appendTime
    this.cancelAppend = this.clock.at(appendTime, () => this.append())
  }

  private async append (): Promise<void> {
    this.appendAt = Number.POSITIVE_INFINITY
    const claims = this.batch.takeClaims()
    const outcomes = this.batch.takeOutcomes()
    if (claims.length + outcomes.length === 0) {
      return
    }
    this.isAppending = true
    const result = await this.appendOnce(claims, outcomes)
    this.isAppending = false
    result.ifLeft(failure => this.requeueAfterFailure(failure, claims, outcomes))
    this.schedule()
  }

  private appendOnce (claims: Claim[], outcomes: Outcome[]): Promise<Either<Failure, number>> {
    const { instance, incarnation } = this.options
    const body: ClaimsRecord = { instance, incarnation, claims, outcomes }
    const kind = claims.length > 0 ? RecordKind.Claims : RecordKind.Outcomes
    const appended = this.log.append({ id: `${incarnation}/${this.recordCount++}`, kind, writtenAt: this.clock.now(), body })
    return new Promise(resolve => {
      const cancel = this.clock.at(this.clock.now() + APPEND_WAIT_MS, () => {
        resolve(Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, 'The log did not answer an append.')))
      })
      appended.then(result => {
        cancel()
        resolve(result)
      })
    })
  }

  /**
   * After a refused append, claims and outcomes go back into the batch. After a
   * lost answer the claims may be in the log, so they are not appended again.
   * Outcomes always are, since a repeated outcome has no effect.
   */
  private requeueAfterFailure (failure: Failure, claims: Claim[], outcomes: Outcome[]): void {
    this.pausedUntil = Math.max(failure.retryAt ?? 0, this.clock.now() + APPEND_PAUSE_MS)
    this.batch.addOutcomes(outcomes)
    if (failure.verdict === Verdict.NotRun) {
      claims.filter(claim => !this.abandoned.delete(claim.requestId)).forEach(claim => this.batch.addClaim(claim))
    }
  }
}

const refuse: ResolveDecision = (_, { decision, standing }) =>
  Left(refuseClaim(decision as Exclude<ClaimDecision, ClaimDecision.Won>, standing))

const resultByDecision: Record<ClaimDecision, ResolveDecision> = {
  [ClaimDecision.Won]: ({ request }, { claim, offset }) => Right(Grant.create(claim, offset, request.deadline)),
  [ClaimDecision.Lost]: refuse,
  [ClaimDecision.KeyReused]: refuse,
  [ClaimDecision.Expired]: refuse,
  [ClaimDecision.Ahead]: refuse
}
