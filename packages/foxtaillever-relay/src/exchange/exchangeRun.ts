/**
 * Runs one exchange: places it, makes one or more attempts, and ends in exactly
 * one reply to the caller. The reply is a complete answer or a failure whose
 * verdict counts all attempts. A request that may have run is sent again only
 * where it is repeatable. It stays at a silent server until another server goes on
 * with it. An unexpected error in one of its steps ends it, and no other exchange.
 */
import { atAfterReading, Failure, FailureCode, Verdict, type Cancellation } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { AnswerHead } from '../attempts/attempt.js'
import { AttemptFailureKind, meaningOf, type AttemptFailure } from '../attempts/attemptFailure.js'
import { runAll, StepGuard } from '../attempts/stepGuard.js'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import { AnswerProgress, type IncompleteAnswer } from './answerProgress.js'
import { AnswerRelay, isServerError } from './answerRelay.js'
import { AttemptLedger, type AttemptPlace } from './attemptLedger.js'
import { AttemptPlacement } from './attemptPlacement.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { ExchangeContext } from './exchangeContext.js'
import { CrashGuard } from './crashGuard.js'
import { ExchangeEnd } from './exchangeEnd.js'
import { findAttemptRoute } from './findAttemptRoute.js'
import { findLateRefusal } from './findRefusal.js'
import { isSilentOnBrokenLink, suspectSilentServer } from './handleSilence.js'
import type { InFlightAttempt } from './inFlightAttempt.js'
import { InFlightAttempts } from './inFlightAttempts.js'
import { isOutdated } from './isOutdated.js'
import { openAttempt, type InFlightListener } from './openAttempt.js'
import { recordAnswer, recordAnswerHead } from './recordAnswerHead.js'
import { Replacements } from './replacements.js'
import { recordAttemptFailure } from './recordAttemptFailure.js'
import { QuotaClaim } from './quotaClaim.js'
import { StreamContinuity } from './streamContinuity.js'
import { StreamPace } from './streamPace.js'

/** A server answers at the deadline by itself. If it does not, this instance fails the request this much later, milliseconds. */
const DEADLINE_GRACE_MS = 40

export class ExchangeRun {
  private readonly attempts = InFlightAttempts.create(attempt => this.recordCancelled(attempt))
  private readonly ledger: AttemptLedger
  private readonly continuity: StreamContinuity
  private readonly placement: AttemptPlacement
  private readonly relay: AnswerRelay
  private readonly replacements: Replacements
  private readonly pace = StreamPace.create()
  private readonly progress: AnswerProgress
  private isOver = false
  /** A server's own error answer, forwarded when no other attempt succeeds. */
  private fallback: { readonly head: AnswerHead, readonly body: Buffer } | undefined
  private cancelDeadline: Cancellation = () => {}
  private readonly quota: QuotaClaim
  private readonly guard: CrashGuard
  private readonly steps = StepGuard.create(error => this.endAfterError(error))
  private readonly listener: InFlightListener = {
    maySend: place => this.steps.run(() => this.maySend(place), false),
    onHead: this.steps.wrap((inFlight, head) => this.onHead(inFlight, head)),
    onData: this.steps.wrap((inFlight, bytes) => this.onData(inFlight, bytes)),
    onEnd: this.steps.wrap(inFlight => this.onEnd(inFlight)),
    onFailed: this.steps.wrap((inFlight, failure) => this.onFailed(inFlight, failure)),
    onError: error => this.endAfterError(error),
    onSilent: this.steps.wrap(inFlight => this.replacements.handleSilence(inFlight))
  }

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
      steps: this.steps,
      isNeeded: () => !this.isOver && this.attempts.needsServer,
      onPlaced: (server, isAdmitted) => this.send(server, isAdmitted),
      onFailed: (code, message, retryAt) => this.onUnplaced(code, message, retryAt)
    })
    this.relay = AnswerRelay.create(exchange, answer, {
      onFirstEvent: () => {
        context.log.firstEvent(exchange, this.now)
        this.continuity.recordFirstEvent(this.attempts.current?.server)
      },
      onEvents: () => this.pace.recordChunk(this.now),
      onBackpressure: () => this.attempts.current?.pause()
    })
    this.replacements = Replacements.create({
      context,
      exchange,
      ledger: this.ledger,
      placement: this.placement,
      relay: this.relay,
      attempts: this.attempts,
      answer,
      steps: this.steps,
      mayRetry: () => this.mayRetry(),
      recordFailure: (failure, failed) => this.recordFailure(failure, failed)
    })
    this.progress = AnswerProgress.create({ answer, relay: this.relay, ledger: this.ledger, revisionAtStart: context.routing().revision })
  }

  static create (context: ExchangeContext, exchange: Exchange, answer: CallerAnswer, onOver: (verdict: Verdict) => void): ExchangeRun {
    return new ExchangeRun(context, exchange, answer, onOver)
  }

  get service (): string {
    return this.exchange.service
  }

  private get now (): number {
    return this.context.clock.now()
  }

  /** Places and sends the request, or refuses it at once. */
  begin (): void {
    this.steps.run(() => this.start(), undefined)
  }

  private start (): void {
    const { exchange, answer, context: { clock, retries }, steps } = this
    if (answer.isGone) {
      this.finish(ExchangeEnd.CallerGone, '')
      return
    }
    answer.listen({ onGone: steps.wrap(() => this.onGone()), onDrained: steps.wrap(() => this.attempts.current?.resume()) })
    this.cancelDeadline = atAfterReading(clock, exchange.deadline + DEADLINE_GRACE_MS, steps.wrap(() => this.onDeadline()))
    retries.addRequest(exchange.service, this.now)
    this.refuseOr(this.guard.findRefusal() ?? findLateRefusal(exchange, this.context), () => this.quota.claim(steps.wrap(refusal => this.onAdmitted(refusal))))
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
    const { steps } = this
    const placeUnlessRefused = steps.wrap((denial: Failure | undefined) => this.refuseOr(denial, () => this.placement.placeNext()))
    const tryUnlessRefused = steps.wrap((failure?: Failure) => this.refuseOr(failure, () => this.guard.claimTrial(placeUnlessRefused)))
    this.refuseOr(refusal, () => this.continuity.resolve(tryUnlessRefused))
  }

  /** What crashes servers became known: the request is not sent, or is cancelled if its answer has not begun. */
  checkQuarantine (): void {
    this.steps.run(() => {
      const refusal = this.isOver || this.answer.hasBegun ? undefined : this.guard.findQuarantine()
      if (refusal) {
        this.interrupt(refusal.code, refusal.message, refusal.retryAt)
      }
    }, undefined)
  }

  private maySend (place: AttemptPlace): boolean {
    const isAllowed = this.guard.maySend()
    if (isAllowed) {
      this.ledger.recordSent(place)
    }
    return isAllowed
  }

  private send (server: KnownServer, isAdmitted: boolean): void {
    const { exchange, context, relay, attempts } = this
    const refusal = this.guard.findQuarantine()
    if (refusal) {
      this.placement.releaseLimit(server)
      this.onUnplaced(refusal.code, refusal.message, refusal.retryAt)
      return
    }
    const route = findAttemptRoute(context, exchange, server, this.ledger)
    if (!route) {
      this.placeWithinReach(server)
      return
    }
    this.ledger.addAttempt(server.listed.id)
    if (attempts.current) {
      this.replacements.expect()
    } else {
      relay.reset()
    }
    this.continuity.recordAttempt(server, relay.lastEventId)
    attempts.open(openAttempt(context, exchange, { server, route, isAdmitted, resumeAfter: relay.lastEventId }, this.listener))
  }

  /** No path leads to the server that was chosen; another one may be within reach. */
  private placeWithinReach (server: KnownServer): void {
    this.placement.releaseLimit(server)
    this.ledger.recordOutOfReach(server.listed.id)
    if (this.mayRetry()) {
      this.placement.placeNext()
    } else {
      this.placement.failUnreached()
    }
  }

  /** No server takes the next attempt. The current one goes on, if there is one. */
  private onUnplaced (code: FailureCode, message: string, retryAt?: number): void {
    const { current } = this.attempts
    if (current) {
      this.replacements.giveUp(current, message)
    } else {
      this.fail(code, message, retryAt)
    }
  }

  private onHead (inFlight: InFlightAttempt, head: AnswerHead): void {
    const { exchange, context, attempts, relay } = this
    recordAnswerHead(context, exchange, inFlight, head)
    inFlight.head = head
    if (!attempts.isReplacement(inFlight)) {
      inFlight.rejectIf(relay.begin(head))
      return
    }
    inFlight.rejectIf(relay.findMismatch(head))
    this.replacements.beginHolding(inFlight, head)
  }

  private onData (inFlight: InFlightAttempt, bytes: Buffer): void {
    const { context, relay, attempts, replacements } = this
    inFlight.recordActivity(this.now)
    if (attempts.isReplacement(inFlight)) {
      replacements.hold(inFlight, bytes)
      return
    }
    replacements.goOnWith(inFlight)
    this.ledger.recordActivity()
    this.progress.recordBytes(this.now)
    if (inFlight.head) {
      this.guard.recordProgress(inFlight.head.at)
    }
    if (inFlight.forwarder === undefined) {
      context.directory.recordHeard(inFlight.server)
    }
    inFlight.rejectIf(relay.push(bytes))
  }

  private onEnd (inFlight: InFlightAttempt): void {
    const { answer, context, exchange, relay, replacements } = this
    const { head } = inFlight
    if (head && isServerError(head) && !answer.hasBegun) {
      this.onServerError(inFlight, head)
      return
    }
    if (replacements.isTruncated(inFlight)) {
      this.onFailed(inFlight, { kind: AttemptFailureKind.Lost, detail: 'ended in the middle of an event' })
      return
    }
    replacements.goOnWith(inFlight)
    const truncation = relay.findTruncation()
    if (!head || truncation !== undefined) {
      this.onFailed(inFlight, { kind: AttemptFailureKind.Lost, detail: truncation ?? 'no answer' })
      return
    }
    this.ledger.recordAnswer(inFlight)
    this.attempts.close(inFlight)
    recordAnswer(context, exchange, inFlight, head)
    relay.end()
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  /** The server ran the request and failed. Its answer is forwarded unless another attempt succeeds. */
  private onServerError (failed: InFlightAttempt, head: AnswerHead): void {
    const body = this.attempts.isReplacement(failed) ? this.replacements.heldBytes : this.relay.body
    this.fallback = { head, body }
    this.onFailed(failed, { kind: AttemptFailureKind.ServerError, detail: `status ${head.status}`, isReported: true })
  }

  private forwardAnswer (head: AnswerHead, body: Buffer): void {
    this.answer.send(head.status, head.headers, body)
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  private onFailed (inFlight: InFlightAttempt, failure: AttemptFailure): void {
    const { attempts } = this
    const { kind } = failure
    const isPlacing = attempts.needsServer
    const promoted = attempts.close(inFlight, meaningOf[kind].verdict === Verdict.MayHaveRun)
    this.recordFailure(failure, inFlight)
    if (!meaningOf[kind].isArrival) {
      this.placement.releaseLimit(inFlight.server)
    }
    if (kind === AttemptFailureKind.Misdirected) {
      this.context.onMisdirected(inFlight, this.exchange, failure)
    }
    if (promoted) {
      this.replacements.forwardFrom(promoted)
    } else if (!isPlacing && attempts.current) {
      this.replacements.place()
    } else if (!isPlacing) {
      this.placeOrFail(failure)
    }
  }

  private placeOrFail ({ kind }: AttemptFailure): void {
    if (this.mayRetry()) {
      this.placement.placeNext()
    } else {
      this.fail(meaningOf[kind].code, 'The request could not be completed.')
    }
  }

  private recordFailure (failure: AttemptFailure, failed: InFlightAttempt): void {
    this.ledger.recordFailure(failed.serverId, failure, this.answer.hasBegun, failed.forwarder)
    recordAttemptFailure(this.context, this.exchange, failed, failure, failed.head?.at)
  }

  private mayRetry (): boolean {
    return !this.isOver && this.relay.canContinue && this.ledger.mayRetry(this.now) && this.guard.mayRetry()
  }

  /** The links of this instance broke: attempts that are silent since may be replaced early. */
  checkLink (): void {
    this.steps.run(() => {
      this.attempts.all.filter(attempt => isSilentOnBrokenLink(this.context, attempt)).forEach(attempt => this.replacements.handleSilence(attempt))
    }, undefined)
  }

  private recordCancelled (cancelled: InFlightAttempt): void {
    const { mayHaveArrived } = cancelled.attempt
    this.ledger.recordInterruption(cancelled, mayHaveArrived)
    if (!mayHaveArrived) {
      this.placement.releaseLimit(cancelled.server)
    }
  }

  /** Sends the request again if other accounts share cached levels than when it was sent, and no answer has begun; returns whether it does. */
  withdrawOutdated (): boolean {
    return this.steps.run(() => this.withdraw(), false)
  }

  private withdraw (): boolean {
    const { attempts, context, exchange, relay, ledger, guard } = this
    const mayWithdraw = relay.canContinue && guard.mayRetry()
    const outdated = attempts.all.filter(attempt => mayWithdraw && !attempt.head && isOutdated(context, exchange, attempt, ledger))
    outdated.forEach(({ attempt }) => attempt.withdraw())
    return outdated.length > 0
  }

  private onGone (): void {
    if (!this.isOver) {
      this.attempts.cancel()
      this.finish(ExchangeEnd.CallerGone, '', undefined, this.progress.describe(this.now))
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
      this.steps.run(() => this.interrupt(FailureCode.Leaving, 'This instance shut down before the answer was complete.'), undefined)
    }
  }

  private interrupt (code: FailureCode, message: string, retryAt?: number): void {
    const { attempts, context } = this
    const { current } = attempts
    if (current?.attempt.mayHaveArrived === true && !current.head && code === FailureCode.DeadlinePassed) {
      suspectSilentServer(context, current, () => {})
    }
    attempts.cancel()
    this.fail(code, message, retryAt)
  }

  private fail (code: FailureCode, message: string, retryAt = earliestRetryTime(code, this.now)): void {
    if (this.fallback && !this.answer.hasBegun) {
      this.forwardAnswer(this.fallback.head, this.fallback.body)
      return
    }
    const incomplete = this.progress.describe(this.now)
    this.sendFailure(code, message, retryAt)
    this.finish(ExchangeEnd.Failed, code, message, incomplete)
  }

  private sendFailure (code: FailureCode, message: string, retryAt: number): void {
    const { verdict } = this.ledger
    this.answer.fail(Failure.create(code, verdict, message, verdict === Verdict.NotRun ? retryAt : undefined))
  }

  /** Ends the exchange after a step of it threw, and releases all that it holds. */
  private endAfterError (error: unknown): void {
    const { context: { log }, exchange, answer, attempts, now } = this
    const code = FailureCode.Internal
    const message = 'The request ended because of an unexpected error.'
    const unlessEnded = (step: () => void) => (): void => {
      if (!answer.isEnded) {
        step()
      }
    }
    runAll(
      () => log.stepFailed(exchange, error),
      () => attempts.cancel(),
      unlessEnded(() => this.sendFailure(code, message, earliestRetryTime(code, now))),
      unlessEnded(() => answer.cut()),
      () => {
        if (!this.isOver) {
          this.finish(ExchangeEnd.Failed, code, message)
        }
      }
    )
  }

  private finish (end: ExchangeEnd, outcome: string, reason?: string, incomplete?: IncompleteAnswer): void {
    this.isOver = true
    const { exchange, ledger, now } = this
    const { verdict } = ledger
    runAll(
      () => this.cancelDeadline(),
      () => this.placement.stop(),
      () => this.context.log.ended({ exchange, end, outcome, verdict, servers: ledger.attemptedServers, pace: this.pace.measureSince(exchange.arrivedAt), now, reason, incomplete }),
      () => this.quota.settle(verdict !== Verdict.NotRun),
      () => this.onOver(verdict)
    )
  }
}
