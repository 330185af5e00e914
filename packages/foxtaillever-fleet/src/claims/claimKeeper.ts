/**
 * Claims of one instance. A request is granted only when its claim has been
 * read back from the log and folded as the winner; until then nothing is sent.
 * An append whose answer was lost is looked for in the log, never decided by
 * guessing.
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
  /** The request's own, milliseconds of Unix time. */
  readonly deadline: number
}

export interface ClaimKeeperOptions {
  readonly instance: string
  /** Must differ at each start of the instance. */
  readonly incarnation: string
  /** How long claims are collected for one append, milliseconds. */
  readonly claimWindowMs: number
  /** How long outcomes may wait for a claim to travel with, milliseconds. */
  readonly outcomeWindowMs: number
  /** How long a request waits for its claim at most, milliseconds. */
  readonly claimWaitMs: number
}

export const defaultClaimOptions = {
  // 9 instances at one append per 20 ms are 450 a second at the very most.
  claimWindowMs: 20,
  outcomeWindowMs: 1000,
  claimWaitMs: 3000
}

/** An append without an answer for this long counts as one whose answer was lost, milliseconds. */
const APPEND_WAIT_MS = 1000

/** An append that has not turned up by then is not expected any more, milliseconds. */
const ABANDONED_KEPT_MS = 600_000

/** A caller whose claim was not confirmed comes back after this, milliseconds: a lost answer of the log is noticed by then. */
const RETURN_AFTER_MS = APPEND_WAIT_MS

/** Pause after a refused append, milliseconds. */
const APPEND_PAUSE_MS = 100

interface Waiting {
  readonly request: ClaimRequest
  readonly resolve: (result: Either<Failure, Grant>) => void
  readonly cancelTimer: Cancellation
}

type Decide = (waiting: Waiting, decided: DecidedClaim) => Either<Failure, Grant>

export class ClaimKeeper {
  private readonly batch = ClaimBatch.create()
  private readonly waiting = new Map<string, Waiting>()
  /** Given up after an append that may have taken effect, each with the instant until which it may turn up. */
  private readonly abandoned = new Map<string, number>()
  private isStopped = false
  private isAppending = false
  private cancelAppend: Cancellation | undefined
  private appendAt = Number.POSITIVE_INFINITY
  private pausedUntil = 0
  private records = 0

  private constructor (
    private readonly log: Log,
    private readonly fold: ClaimFold,
    private readonly clock: Clock,
    private readonly options: ClaimKeeperOptions
  ) {}

  static create (log: Log, fold: ClaimFold, clock: Clock, options: ClaimKeeperOptions): ClaimKeeper {
    return new ClaimKeeper(log, fold, clock, options)
  }

  /** Given to the log reader, for records that left the log unread. */
  cover (page: LogPage): void {
    this.fold.cover(page)
  }

  /** Given to the log reader. */
  read (record: LogRecord): void {
    const decided = this.fold.read(record)
    const body = record.body as ClaimsRecord
    if (decided.length > 0 && body.incarnation === this.options.incarnation) {
      decided.forEach(claim => this.conclude(claim))
    }
  }

  /** Resolves with a grant only when the claim stands in the log as the winner. */
  claim (request: ClaimRequest): Promise<Either<Failure, Grant>> {
    const refusal = this.refuseAtOnce(request)
    if (refusal) {
      return Promise.resolve(Left(refusal))
    }
    return new Promise(resolve => {
      const giveUpAt = Math.min(request.deadline, this.clock.now() + this.options.claimWaitMs)
      const cancelTimer = this.clock.at(giveUpAt, () => this.giveUp(request.requestId))
      this.waiting.set(request.requestId, { request, resolve, cancelTimer })
      const { key, requestId, digest, createdAt } = request
      this.batch.addClaim({ key, requestId, digest, createdAt })
      this.schedule()
    })
  }

  /** The caller has left: its claim is withdrawn or, if it may stand, freed. */
  cancel (requestId: string): void {
    this.giveUp(requestId)
  }

  /** Tells all instances how a granted request ended; later calls change nothing. */
  settle (grant: Grant, verdict: Verdict): void {
    if (grant.close()) {
      this.addOutcome(grant.claim, grant.offset, verdict)
    }
  }

  /**
   * Writes the last outcomes, at the latest until the deadline; what is not
   * written stays "may have run" for all others.
   */
  async stop (deadline: number): Promise<void> {
    while ((this.isAppending || !this.batch.isEmpty()) && this.clock.now() < deadline) {
      this.flush()
      await waitUntil(this.clock, this.clock.now() + this.options.claimWindowMs)
    }
    this.isStopped = true
    this.cancelAppend?.()
  }

  /** Appends without waiting for a claim to travel with. */
  private flush (): void {
    const now = this.clock.now()
    if (!this.isAppending && !this.batch.isEmpty() && now >= this.pausedUntil) {
      this.cancelAppend?.()
      this.append()
    }
  }

  /** Requests that wait for their claim. */
  size (): number {
    return this.waiting.size
  }

  private refuseAtOnce (request: ClaimRequest): Failure | undefined {
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

  private conclude (decided: DecidedClaim): void {
    const { claim, offset, decision } = decided
    const waiting = this.waiting.get(claim.requestId)
    if (waiting) {
      this.finish(waiting, decisions[decision](waiting, decided))
      return
    }
    if (this.abandoned.delete(claim.requestId) && decision === ClaimDecision.Won) {
      this.addOutcome(claim, offset, Verdict.NotRun)
    }
  }

  private finish (waiting: Waiting, result: Either<Failure, Grant>): void {
    waiting.cancelTimer()
    this.waiting.delete(waiting.request.requestId)
    waiting.resolve(result)
  }

  private giveUp (requestId: string): void {
    const waiting = this.waiting.get(requestId)
    if (!waiting) {
      return
    }
    if (!this.batch.withdraw(requestId)) {
      this.abandon(requestId)
    }
    const retryAt = this.clock.now() + RETURN_AFTER_MS
    this.finish(waiting, Left(Failure.notRun(FailureCode.LogUnavailable, 'The log did not confirm the claim in time; nothing was sent.', retryAt)))
  }

  private abandon (requestId: string): void {
    const now = this.clock.now()
    for (const [id, until] of this.abandoned) {
      if (until > now) {
        break
      }
      this.abandoned.delete(id)
    }
    this.abandoned.set(requestId, now + ABANDONED_KEPT_MS)
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
    const wanted = Math.max(this.clock.now() + windowMs, this.pausedUntil)
    if (wanted >= this.appendAt) {
      return
    }
    this.cancelAppend?.()
    this.appendAt = wanted
    this.cancelAppend = this.clock.at(wanted, () => this.append())
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
    result.ifLeft(failure => this.takeBack(failure, claims, outcomes))
    this.schedule()
  }

  private appendOnce (claims: Claim[], outcomes: Outcome[]): Promise<Either<Failure, number>> {
    const { instance, incarnation } = this.options
    const body: ClaimsRecord = { instance, incarnation, claims, outcomes }
    const kind = claims.length > 0 ? RecordKind.Claims : RecordKind.Outcomes
    const appended = this.log.append({ id: `${incarnation}/${this.records++}`, kind, writtenAt: this.clock.now(), body })
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
   * After a refused append all goes back. After a lost answer the claims may
   * stand in the log: they are waited for. Outcomes are written again, since a
   * second one changes nothing.
   */
  private takeBack (failure: Failure, claims: Claim[], outcomes: Outcome[]): void {
    this.pausedUntil = Math.max(failure.retryAt ?? 0, this.clock.now() + APPEND_PAUSE_MS)
    this.batch.addOutcomes(outcomes)
    if (failure.verdict === Verdict.NotRun) {
      claims.filter(claim => !this.abandoned.delete(claim.requestId)).forEach(claim => this.batch.addClaim(claim))
    }
  }
}

const refuse: Decide = (_, { decision, standing }) =>
  Left(refuseClaim(decision as Exclude<ClaimDecision, ClaimDecision.Won>, standing))

const decisions: Record<ClaimDecision, Decide> = {
  [ClaimDecision.Won]: ({ request }, { claim, offset }) => Right(Grant.create(claim, offset, request.deadline)),
  [ClaimDecision.Lost]: refuse,
  [ClaimDecision.KeyReused]: refuse,
  [ClaimDecision.Expired]: refuse,
  [ClaimDecision.Ahead]: refuse
}
