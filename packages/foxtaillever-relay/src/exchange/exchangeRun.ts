/**
 * Runs one exchange: places it, makes one or more attempts, and ends in exactly
 * one reply to the caller. The reply is a complete answer or a failure whose
 * verdict counts all attempts. A request that may have run is sent again only
 * where it is repeatable.
 */
import { atAfterReading, Failure, FailureCode, Verdict, type Cancellation } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { AnswerHead } from '../attempts/attempt.js'
import { AttemptFailureKind, meaningOf, type AttemptFailure } from '../attempts/attemptFailure.js'
import { heldTokensOf, type Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import { AnswerRelay } from './answerRelay.js'
import { AttemptLedger } from './attemptLedger.js'
import { AttemptPlacement } from './attemptPlacement.js'
import { beginAttempt } from './beginAttempt.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { ExchangeContext } from './exchangeContext.js'
import { CrashGuard } from './crashGuard.js'
import { ExchangeEnd } from './exchangeEnd.js'
import { findAttemptRoute } from './findAttemptRoute.js'
import { handleSilence, isSilentOnBrokenLink, suspectSilentServer } from './handleSilence.js'
import { InFlightAttempt } from './inFlightAttempt.js'
import { planAttempt } from './planAttempt.js'
import { recordAnswer, recordAnswerHead } from './recordAnswerHead.js'
import { recordAttemptFailure } from './recordAttemptFailure.js'
import { QuotaClaim } from './quotaClaim.js'
import { StreamContinuity } from './streamContinuity.js'
import { StreamPace } from './streamPace.js'
import { watchAttempt } from './watchAttempt.js'

/** A server answers at the deadline by itself. If it does not, this instance fails the request this much later, milliseconds. */
const DEADLINE_GRACE_MS = 40

export class ExchangeRun {
  private current: InFlightAttempt | undefined
  private readonly ledger: AttemptLedger
  private readonly continuity: StreamContinuity
  private readonly placement: AttemptPlacement
  private readonly relay: AnswerRelay
  private readonly pace = StreamPace.create()
  private head: AnswerHead | undefined
  private isOver = false
  /** A server's own error answer, forwarded when no other attempt succeeds. */
  private fallback: { readonly head: AnswerHead, readonly body: Buffer } | undefined
  private cancelDeadline: Cancellation = () => {}
  private readonly quota: QuotaClaim
  private readonly guard: CrashGuard

  private constructor (
    private readonly context: ExchangeContext,
    private readonly exchange: Exchange,
    private readonly answer: CallerAnswer,
    private readonly onOver: (verdict: Verdict) => void
  ) {
    this.ledger = AttemptLedger.create(exchange)
    this.guard = CrashGuard.create(context, exchange)
    this.quota = QuotaClaim.create(context.quota, exchange)
    this.continuity = StreamContinuity.create(context, exchange, this.ledger)
    this.placement = AttemptPlacement.create({
      context,
      exchange,
      ledger: this.ledger,
      isOver: () => this.isOver,
      onPlaced: (server, isAdmitted) => this.send(server, isAdmitted),
      onFailed: (code, message, retryAt) => this.fail(code, message, retryAt)
    })
    this.relay = AnswerRelay.create(exchange, answer, {
      onFirstEvent: () => {
        context.log.firstEvent(exchange, this.now)
        this.continuity.recordFirstEvent(this.current?.server)
      },
      onEvents: () => this.pace.recordChunk(this.now),
      onBackpressure: () => this.current?.pause()
    })
  }

  static create (context: ExchangeContext, exchange: Exchange, answer: CallerAnswer, onOver: (verdict: Verdict) => void): ExchangeRun {
    return new ExchangeRun(context, exchange, answer, onOver)
  }

  private get now (): number {
    return this.context.clock.now()
  }

  /** Places and sends the request, or refuses it at once. */
  begin (): void {
    const { exchange, answer, context: { clock, retries } } = this
    if (answer.isGone) {
      this.finish(ExchangeEnd.CallerGone, '')
      return
    }
    answer.listen({ onGone: () => this.onGone(), onDrained: () => this.current?.resume() })
    this.cancelDeadline = atAfterReading(clock, exchange.deadline + DEADLINE_GRACE_MS, () => this.onDeadline())
    retries.addRequest(exchange.service, this.now)
    this.refuseOr(this.guard.findRefusal(), () => this.quota.claim(refusal => this.onAdmitted(refusal)))
  }

  /** Goes on with the next step, unless the exchange has ended or is refused. */
  private refuseOr (refusal: Failure | undefined, next: () => void): void {
    if (!this.isOver && refusal) {
      this.fail(refusal.code, refusal.message, refusal.retryAt)
    } else if (!this.isOver) {
      next()
    }
  }

  /** Continues after the quota of the client account admitted or refused the request. */
  private onAdmitted (refusal: Failure | undefined): void {
    if (this.isOver) {
      this.quota.settle(false)
    }
    this.refuseOr(refusal, () => this.continuity.resolve(failure => this.refuseOr(failure, () => this.guard.claimTrial(denial => this.refuseOr(denial, () => this.placement.placeNext())))))
  }

  /** What crashes servers became known: the request is not sent, or is cancelled if its answer has not begun. */
  checkQuarantine (): void {
    const refusal = this.isOver || this.answer.hasBegun ? undefined : this.guard.findQuarantine()
    if (refusal) {
      this.interrupt(refusal.code, refusal.message, refusal.retryAt)
    }
  }

  private send (server: KnownServer, isAdmitted: boolean): void {
    const { exchange, context, relay } = this
    const beganAt = this.now
    const refusal = this.guard.findQuarantine()
    if (refusal) {
      this.placement.releaseLimit()
      this.fail(refusal.code, refusal.message, refusal.retryAt)
      return
    }
    const route = findAttemptRoute(context, exchange, server, this.ledger)
    if (!route) {
      this.placement.failUnreached()
      return
    }
    this.ledger.addAttempt(server.listed.id)
    this.head = undefined
    relay.reset()
    this.continuity.recordAttempt(server, relay.lastEventId)
    const { terms, othersTokens } = planAttempt(context, exchange, server, { resumeAfter: relay.lastEventId, isAdmitted })
    const attempt = beginAttempt(context, exchange, route, context.wire.createHeaders(exchange, terms, beganAt), {
      maySend: () => this.guard.maySend(),
      onHead: head => this.onHead(head),
      onData: bytes => this.onData(bytes),
      onEnd: () => this.onEnd(),
      onFailed: failure => this.onFailed(failure)
    })
    this.current = InFlightAttempt.open({ attempt, server, beganAt, terms, heldTokens: heldTokensOf(exchange), othersTokens, usualMs: context.directory.observations.usualTimeOf(exchange.route.name).value, watch: watchAttempt(context, exchange, beganAt, () => this.onSilent()), forwarder: route.path.forwarder, context })
  }

  private onHead (head: AnswerHead): void {
    const { exchange, context, current } = this
    if (current) {
      recordAnswerHead(context, exchange, current, head)
    }
    this.head = head
    this.rejectIf(this.relay.begin(head))
  }

  private onData (bytes: Buffer): void {
    const { current, context, head } = this
    current?.recordActivity(this.now)
    if (head) {
      this.guard.recordProgress(head.at)
    }
    if (current && current.forwarder === undefined) {
      context.directory.recordHeard(current.server)
    }
    this.rejectIf(this.relay.push(bytes))
  }

  private rejectIf (reason: string | undefined): void {
    if (reason !== undefined) {
      this.current?.attempt.reject(reason)
    }
  }

  private onEnd (): void {
    const { head, answer, current, context, exchange, relay } = this
    const truncation = relay.findTruncation()
    if (!head || truncation !== undefined) {
      this.onFailed({ kind: AttemptFailureKind.Lost, detail: truncation ?? 'no answer' })
      return
    }
    this.closeCurrent()
    if (head.status >= 500 && !answer.hasBegun) {
      this.onServerError(head, relay.body, current)
      return
    }
    recordAnswer(context, exchange, current, head)
    relay.end()
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  /** The server ran the request and failed. Its answer is forwarded unless another attempt is allowed. */
  private onServerError (head: AnswerHead, body: Buffer, failed: InFlightAttempt | undefined): void {
    this.fallback = { head, body }
    this.recordFailure({ kind: AttemptFailureKind.ServerError, detail: `status ${head.status}`, isReported: true }, failed)
    if (this.mayRetry()) {
      this.placement.placeNext()
      return
    }
    this.forwardAnswer(head, body)
  }

  private forwardAnswer (head: AnswerHead, body: Buffer): void {
    this.answer.send(head.status, head.headers, body)
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  private onFailed (failure: AttemptFailure): void {
    const { kind } = failure
    const inFlight = this.current
    this.closeCurrent(meaningOf[kind].verdict === Verdict.MayHaveRun)
    this.recordFailure(failure, inFlight)
    if (!meaningOf[kind].isArrival) {
      this.placement.releaseLimit()
    }
    if (inFlight && kind === AttemptFailureKind.Misdirected) {
      this.context.onMisdirected(inFlight, this.exchange, failure)
    }
    if (this.mayRetry()) {
      this.placement.placeNext()
      return
    }
    this.fail(meaningOf[kind].code, 'The request could not be completed.')
  }

  private recordFailure (failure: AttemptFailure, failed: InFlightAttempt | undefined): void {
    this.ledger.recordFailure(failed?.serverId ?? '', failure, this.answer.hasBegun, failed?.forwarder)
    recordAttemptFailure(this.context, this.exchange, failed, failure, this.head?.at)
  }

  private mayRetry (): boolean {
    return !this.isOver && this.relay.canContinue && this.ledger.mayRetry(this.now) && this.guard.mayRetry()
  }

  /**
   * The server has sent nothing for too long. A repeatable request may be
   * retried at another server; any other waits for its deadline, because it may
   * still be answered.
   */
  private onSilent (): void {
    const { current, context, exchange, relay, ledger, answer } = this
    if (current && !current.isChanging) {
      handleSilence(context, exchange, { current, ledger, canContinue: relay.canContinue, hasBegun: answer.hasBegun })
    }
  }

  /** The links of this instance broke: an attempt that is silent since may be abandoned early. */
  checkLink (): void {
    if (isSilentOnBrokenLink(this.context, this.current)) {
      this.onSilent()
    }
  }

  private onGone (): void {
    if (!this.isOver) {
      this.ledger.recordInterruption(this.current?.attempt.mayHaveArrived === true)
      this.cancelCurrent()
      this.finish(ExchangeEnd.CallerGone, '')
    }
  }

  private onDeadline (): void {
    if (!this.isOver) {
      this.interrupt(FailureCode.DeadlinePassed, 'The deadline passed before the answer was complete.')
    }
  }

  /** Fails the exchange when the time of a graceful shutdown is up. */
  abort (): void {
    if (!this.isOver) {
      this.interrupt(FailureCode.Leaving, 'This instance shut down before the answer was complete.')
    }
  }

  private interrupt (code: FailureCode, message: string, retryAt?: number): void {
    const { current, context } = this
    const mayHaveArrived = current?.attempt.mayHaveArrived === true
    this.ledger.recordInterruption(mayHaveArrived)
    if (current && mayHaveArrived && !this.head && code === FailureCode.DeadlinePassed) {
      suspectSilentServer(context, current, () => {})
    }
    this.cancelCurrent()
    this.fail(code, message, retryAt)
  }

  private fail (code: FailureCode, message: string, retryAt = earliestRetryTime(code, this.now)): void {
    if (this.fallback && !this.answer.hasBegun) {
      this.forwardAnswer(this.fallback.head, this.fallback.body)
      return
    }
    this.answer.fail(Failure.create(code, this.ledger.verdict, message, this.ledger.verdict === Verdict.NotRun ? retryAt : undefined))
    this.finish(ExchangeEnd.Failed, code, message)
  }

  private cancelCurrent (): void {
    this.current?.attempt.cancel()
    this.closeCurrent(this.current?.attempt.mayHaveArrived)
  }

  private closeCurrent (mayStillRun = false): void {
    const { current } = this
    this.current = undefined
    current?.close(mayStillRun)
  }

  private finish (end: ExchangeEnd, outcome: string, reason?: string): void {
    this.isOver = true
    this.cancelDeadline()
    this.placement.stop()
    const { exchange, ledger, now } = this
    this.context.log.ended({ exchange, end, outcome, verdict: ledger.verdict, servers: ledger.attemptedServers, pace: this.pace.measureSince(exchange.arrivedAt), now, reason })
    this.quota.settle(end === ExchangeEnd.Answered || ledger.verdict !== Verdict.NotRun)
    this.onOver(end === ExchangeEnd.Answered ? Verdict.Ran : ledger.verdict)
  }
}
