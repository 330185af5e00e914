/**
 * The life of one exchange: placed, tried, answered. It ends in exactly one
 * word to the caller, a whole answer or a failure whose verdict counts all
 * tries, and what may have run is sent again only where that does no harm.
 */
import { atAfterReading, Failure, FailureCode, Verdict, type Cancellation } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { AnswerHead } from '../attempts/attempt.js'
import { AttemptFailureKind, meaningOf, type AttemptFailure } from '../attempts/attemptFailure.js'
import { heldTokensOf, type Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import { AnswerRelay } from './answerRelay.js'
import { beginAttempt } from './beginAttempt.js'
import type { CallerAnswer } from './callerAnswer.js'
import { ExchangeEnd } from './exchangeEnd.js'
import type { ExchangeContext } from './exchangeContext.js'
import { isBetterGivenUp } from './isBetterGivenUp.js'
import { observeFailure } from './observeFailure.js'
import { observeHead } from './observeHead.js'
import { OpenTry } from './openTry.js'
import { planTry } from './planTry.js'
import { refusalOf } from './refusalOf.js'
import { StreamPace } from './streamPace.js'
import { TryLedger } from './tryLedger.js'
import { TryPlacement } from './tryPlacement.js'
import { watchTry } from './watchTry.js'

/** A server answers at the deadline by itself; this much later the caller gets our word, milliseconds. */
const DEADLINE_GRACE_MS = 40

export class ExchangeRun {
  private current: OpenTry | undefined
  private readonly ledger: TryLedger
  private readonly placement: TryPlacement
  private readonly relay: AnswerRelay
  private readonly pace = StreamPace.create()
  private head: AnswerHead | undefined
  private isOver = false
  /** A server's own failure, passed on when no other try succeeds. */
  private fallback: { readonly head: AnswerHead, readonly body: Buffer } | undefined
  private cancelDeadline: Cancellation = () => {}
  /** It counts among what its client account has used. */
  private isCounted = false

  private constructor (
    private readonly context: ExchangeContext,
    private readonly exchange: Exchange,
    private readonly answer: CallerAnswer,
    private readonly onOver: (verdict: Verdict) => void
  ) {
    this.ledger = TryLedger.create(exchange)
    this.placement = TryPlacement.create({
      context,
      exchange,
      ledger: this.ledger,
      isOver: () => this.isOver,
      onPlaced: server => this.send(server),
      onFailed: (code, message, retryAt) => this.fail(code, message, retryAt)
    })
    this.relay = AnswerRelay.create(exchange, answer, {
      onFirstEvent: () => context.log.firstEvent(exchange, this.now),
      onEvents: () => this.pace.observe(this.now),
      onFull: () => this.current?.attempt.pause()
    })
  }

  static create (context: ExchangeContext, exchange: Exchange, answer: CallerAnswer, onOver: (verdict: Verdict) => void): ExchangeRun {
    return new ExchangeRun(context, exchange, answer, onOver)
  }

  private get now (): number {
    return this.context.clock.now()
  }

  /** Places it and sends it, or refuses it at once. */
  begin (): void {
    const { exchange, answer, context } = this
    const { clock, retries, suspects } = context
    if (answer.isGone) {
      this.finish(ExchangeEnd.CallerGone, '')
      return
    }
    answer.listen({ onGone: () => this.onGone(), onDrained: () => this.current?.attempt.resume() })
    this.cancelDeadline = atAfterReading(clock, exchange.deadline + DEADLINE_GRACE_MS, () => this.onDeadline())
    retries.addRequest(exchange.service, this.now)
    const refusal = refusalOf(exchange, suspects, this.now)
    if (refusal) {
      this.fail(refusal.code, refusal.message, refusal.retryAt)
      return
    }
    context.quota.admit(exchange, refusal => this.onAdmitted(refusal))
  }

  /** The quota of its client account lets it run, or refuses it. */
  private onAdmitted (refusal: Failure | undefined): void {
    this.isCounted = refusal === undefined
    if (this.isOver) {
      this.returnQuota(ExchangeEnd.CallerGone)
    } else if (refusal) {
      this.fail(refusal.code, refusal.message, refusal.retryAt)
    } else {
      this.placement.next()
    }
  }

  private send (server: KnownServer): void {
    const { exchange, context, relay } = this
    const beganAt = this.now
    this.ledger.begin(server.listed.id)
    this.head = undefined
    relay.reset()
    const { terms, othersTokens } = planTry(context, exchange, server, relay.lastEventId)
    const headers = context.wire.createHeaders(exchange, terms, beganAt)
    const attempt = beginAttempt(context, exchange, server, headers, beganAt, {
      onHead: head => this.onHead(head),
      onData: bytes => this.onData(bytes),
      onEnd: () => this.onEnd(),
      onFailed: failure => this.onFailed(failure)
    })
    const watch = watchTry(context, exchange, beganAt, () => this.onSilent())
    this.current = OpenTry.open({ attempt, server, beganAt, terms, heldTokens: heldTokensOf(exchange), othersTokens, watch, context })
  }

  private onHead (head: AnswerHead): void {
    const { exchange, context, current } = this
    if (current) {
      observeHead(context, exchange, current, head)
    }
    this.head = head
    this.rejectIf(this.relay.begin(head))
  }

  private onData (bytes: Buffer): void {
    this.current?.hear()
    this.rejectIf(this.relay.push(bytes))
  }

  private rejectIf (reason: string | undefined): void {
    if (reason !== undefined) {
      this.current?.attempt.reject(reason)
    }
  }

  private onEnd (): void {
    const { head, answer, current, context, exchange, relay } = this
    const cut = relay.checkWhole()
    if (!head || cut !== undefined) {
      this.onFailed({ kind: AttemptFailureKind.Lost, detail: cut ?? 'no answer' })
      return
    }
    const server = this.settle()
    if (head.status >= 500 && !answer.hasBegun) {
      this.onServerError(head, relay.body, server)
      return
    }
    if (server && current) {
      context.directory.experience.observeSuccess(server, exchange.route.name, head.at - current.beganAt, this.now)
      context.suspects.acquit(exchange, server.listed.id, current.beganAt, this.now)
    }
    relay.end()
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  /** The server ran the request and failed; its answer is passed on unless another try may do better. */
  private onServerError (head: AnswerHead, body: Buffer, server: KnownServer | undefined): void {
    this.fallback = { head, body }
    this.observeFailure({ kind: AttemptFailureKind.ServerError, detail: `status ${head.status}` }, server)
    if (this.mayTryAgain()) {
      this.placement.next()
      return
    }
    this.passOn(head, body)
  }

  private passOn (head: AnswerHead, body: Buffer): void {
    this.answer.send(head.status, head.headers, body)
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  private onFailed (failure: AttemptFailure): void {
    const { kind } = failure
    const tried = this.current
    const server = this.settle()
    this.observeFailure(failure, server)
    if (!meaningOf[kind].isArrival) {
      this.placement.giveBack()
    }
    if (tried && kind === AttemptFailureKind.Misdirected) {
      this.context.onMisdirected(tried, this.exchange, failure)
    }
    if (this.mayTryAgain()) {
      this.placement.next()
      return
    }
    this.fail(meaningOf[kind].code, 'The request could not be completed.')
  }

  private observeFailure (failure: AttemptFailure, server: KnownServer | undefined): void {
    this.ledger.observe(server?.listed.id ?? '', failure.kind, this.answer.hasBegun)
    observeFailure(this.context, this.exchange, server, failure)
  }

  private mayTryAgain (): boolean {
    return !this.isOver && this.relay.canContinue && this.ledger.mayTryAgain(this.now) && !this.context.suspects.isDangerous(this.exchange)
  }

  /**
   * The server has said nothing for too long. Another one gets what may run
   * twice; all else waits for its deadline, because it may yet be answered.
   */
  private onSilent (): void {
    const { current, context, exchange, relay, ledger, answer } = this
    if (!current || current.isChanging) {
      return
    }
    const { attempt, server } = current
    context.log.silent(exchange, current.serverId, attempt.isOnKeptConnection)
    // Connections of one age tend to go silent together; the server itself may be well.
    server.connections.closeIdle()
    if (isBetterGivenUp(context, exchange, { current, ledger, canContinue: relay.canContinue, hasBegun: answer.hasBegun })) {
      attempt.giveUp()
    } else if (!attempt.isOnKeptConnection) {
      context.directory.experience.observeFault(server, this.now)
    }
  }

  private onGone (): void {
    if (!this.isOver) {
      this.ledger.observeCut(this.current?.attempt.mayHaveArrived === true)
      this.cancelCurrent()
      this.finish(ExchangeEnd.CallerGone, '')
    }
  }

  private onDeadline (): void {
    if (!this.isOver) {
      this.cut(FailureCode.DeadlinePassed, 'The deadline passed before the answer was complete.')
    }
  }

  /** Ends all that is left at a shutdown whose time is up. */
  abort (): void {
    if (!this.isOver) {
      this.cut(FailureCode.Leaving, 'This instance shut down before the answer was complete.')
    }
  }

  private cut (code: FailureCode, message: string): void {
    const { current, exchange, context } = this
    const mayHaveArrived = current?.attempt.mayHaveArrived === true
    this.ledger.observeCut(mayHaveArrived)
    if (current && mayHaveArrived && !this.head && code === FailureCode.DeadlinePassed) {
      context.suspects.accuse(exchange, current.serverId, this.now)
    }
    this.cancelCurrent()
    this.fail(code, message)
  }

  private fail (code: FailureCode, message: string, retryAt = earliestRetryTime(code, this.now)): void {
    if (this.fallback && !this.answer.hasBegun) {
      this.passOn(this.fallback.head, this.fallback.body)
      return
    }
    const { verdict } = this.ledger
    this.answer.fail(Failure.create(code, verdict, message, verdict === Verdict.NotRun ? retryAt : undefined))
    this.finish(ExchangeEnd.Failed, code, message)
  }

  private cancelCurrent (): void {
    this.current?.attempt.cancel()
    this.settle()
  }

  /** The current try is over; its server is free of it. */
  private settle (): KnownServer | undefined {
    const { current } = this
    this.current = undefined
    current?.close()
    return current?.server
  }

  /** What has not run is not used. */
  private returnQuota (end: ExchangeEnd): void {
    if (this.isCounted && end !== ExchangeEnd.Answered && this.ledger.verdict === Verdict.NotRun) {
      this.context.quota.giveBack(this.exchange)
    }
    this.isCounted = false
  }

  private finish (end: ExchangeEnd, outcome: string, reason?: string): void {
    this.isOver = true
    this.cancelDeadline()
    const { exchange, ledger, now } = this
    this.context.log.ended({ exchange, end, outcome, verdict: ledger.verdict, servers: ledger.tried, pace: this.pace.since(exchange.arrivedAt), now, reason })
    this.returnQuota(end)
    this.onOver(end === ExchangeEnd.Answered ? Verdict.Ran : ledger.verdict)
  }
}
