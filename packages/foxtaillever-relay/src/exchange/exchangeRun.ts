/**
 * The life of one exchange: placed, tried, answered. It ends in exactly one
 * word to the caller, a whole answer or a failure whose verdict counts all
 * tries, and what may have run is sent again only where that does no harm.
 */
import { Failure, FailureCode, Verdict, type Cancellation } from 'foxtaillever-core'
import { Attempt, type AnswerHead } from '../attempts/attempt.js'
import { AttemptFailureKind, meaningOf, type AttemptFailure } from '../attempts/attemptFailure.js'
import { planTerms } from '../attempts/planTerms.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import { EventSplitter } from '../streams/eventSplitter.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { ExchangeContext } from './exchangeContext.js'

/** Answers up to this size are held until they are whole, so that a cut one can be tried again, bytes. */
const MOST_HELD_BYTES = 256 * 1024

/** A server answers at the deadline by itself; this much later the caller gets our word, milliseconds. */
const DEADLINE_GRACE_MS = 40

/** Servers that may reject one exchange before its caller is told to come back. */
const MOST_REJECTIONS = 3

/** When to come back after a rejection, milliseconds: servers answer in tens, and a full one drains in hundreds. */
const COME_BACK_MS = 300

/** Least time left for which another try is made, milliseconds. */
const LEAST_TRY_MS = 20

interface Try {
  readonly attempt: Attempt
  readonly server: KnownServer
  readonly tokens: number
  readonly savedLevel: number | undefined
}

/** What a run came to, for the log. */
export enum ExchangeEnd {
  Answered = 'answered',
  Failed = 'failed',
  CallerGone = 'caller-gone'
}

export class ExchangeRun {
  private current: Try | undefined
  /** Servers that had the request, each in turn. */
  private readonly tried: string[] = []
  private readonly rejectedBy = new Set<string>()
  private runs = 0
  private arrivals = 0
  private verdict = Verdict.NotRun
  private isOver = false
  private head: AnswerHead | undefined
  private held: Buffer[] = []
  private heldBytes = 0
  /** Events go to the caller as they arrive. */
  private isStreaming = false
  private splitter = EventSplitter.create()
  private lastEventId: string
  /** A server's own failure, passed on when no other try succeeds. */
  private fallback: { readonly head: AnswerHead, readonly body: Buffer } | undefined
  private cancelDeadline: Cancellation = () => {}

  private constructor (private readonly context: ExchangeContext, private readonly exchange: Exchange, private readonly answer: CallerAnswer) {
    this.lastEventId = exchange.resumeAfter
  }

  static start (context: ExchangeContext, exchange: Exchange, answer: CallerAnswer): ExchangeRun {
    const run = new ExchangeRun(context, exchange, answer)
    run.begin()
    return run
  }

  private get now (): number {
    return this.context.clock.now()
  }

  private begin (): void {
    const { clock, retries } = this.context
    const { exchange, answer } = this
    answer.listen({ onGone: () => this.onGone(), onDrained: () => this.current?.attempt.resume() })
    this.cancelDeadline = clock.at(exchange.deadline + DEADLINE_GRACE_MS, () => this.onDeadline())
    retries.addRequest(exchange.service, this.now)
    this.tryNext()
  }

  private tryNext (): void {
    const { exchange, context } = this
    const server = context.place(exchange, this.rejectedBy)
    if (!server) {
      this.fail(FailureCode.NoBackendServer, 'No backend server can take the request now.')
      return
    }
    if (this.arrivals > 0 && !context.retries.take(exchange.service, this.now)) {
      this.fail(FailureCode.Overloaded, 'The retry budget is used up.')
      return
    }
    this.send(server, planTerms(exchange, server, this.lastEventId, { routing: context.routing(), savedLevels: context.savedLevels, now: this.now }))
  }

  private send (server: KnownServer, terms: SendTerms): void {
    const { exchange, context } = this
    const { clock, wire } = context
    const tokens = exchange.prompt?.promptTokens ?? 0
    this.tried.push(server.listed.id)
    server.outstanding += 1
    server.outstandingTokens += tokens
    this.head = undefined
    this.held = []
    this.heldBytes = 0
    this.splitter = EventSplitter.create()
    const headers = wire.createHeaders(exchange, terms, this.now)
    const attempt = Attempt.begin({
      clock,
      wire,
      connections: server.connections,
      requestId: exchange.id,
      call: { method: exchange.method, path: exchange.path, headers, body: exchange.body },
      listener: {
        onHead: head => this.onHead(head),
        onData: bytes => this.onData(bytes),
        onEnd: () => this.onEnd(),
        onFailed: failure => this.onFailed(failure)
      }
    })
    this.current = { attempt, server, tokens, savedLevel: terms.savedLevel }
  }

  private onHead (head: AnswerHead): void {
    const { exchange, context, current } = this
    const { weightsVersion } = head.marks
    if (current && exchange.prompt && weightsVersion !== undefined) {
      context.directory.observeWeights(current.server.listed.id, exchange.prompt.model, weightsVersion)
    }
    if (current?.savedLevel !== undefined && head.status < 300) {
      context.savedLevels.confirm(current.savedLevel, this.now)
    }
    this.head = head
    // A resumed run goes on in the answer that was begun.
    this.isStreaming = exchange.route.isStream && head.marks.isEventStream && head.status < 300
  }

  private onData (bytes: Buffer): void {
    if (this.isStreaming) {
      this.relayEvents(bytes)
      return
    }
    this.hold(bytes)
  }

  private hold (bytes: Buffer): void {
    if (this.answer.hasBegun) {
      this.write(bytes)
      return
    }
    this.held.push(bytes)
    this.heldBytes += bytes.length
    if (this.heldBytes > MOST_HELD_BYTES && this.head) {
      this.answer.begin(this.head.status, this.head.headers)
      this.held.splice(0).forEach(chunk => this.write(chunk))
    }
  }

  private relayEvents (bytes: Buffer): void {
    for (const { bytes: event, id } of this.splitter.push(bytes)) {
      this.beginStream()
      this.write(event)
      if (id !== '') {
        this.lastEventId = id
      }
    }
    if (this.splitter.isOverfull) {
      this.current?.attempt.giveUp()
    }
  }

  private beginStream (): void {
    if (!this.answer.hasBegun && this.head) {
      this.answer.begin(this.head.status, this.head.headers)
      this.context.log.firstEvent(this.exchange, this.now)
    }
  }

  private write (bytes: Buffer): void {
    if (!this.answer.write(bytes)) {
      this.current?.attempt.pause()
    }
  }

  private onEnd (): void {
    const { head, answer } = this
    const server = this.settle()
    if (!head) {
      return
    }
    if (head.status >= 500 && !answer.hasBegun) {
      this.onServerError(head, Buffer.concat(this.held), server)
      return
    }
    if (server) {
      this.context.directory.observeSuccess(server.listed.id)
    }
    if (this.isStreaming) {
      this.beginStream()
      this.write(this.splitter.rest)
    }
    if (answer.hasBegun) {
      answer.end()
    } else {
      answer.send(head.status, head.headers, Buffer.concat(this.held))
    }
    this.finish(ExchangeEnd.Answered, String(head.status))
  }

  /** The server ran the request and failed; its answer is passed on unless another try may do better. */
  private onServerError (head: AnswerHead, body: Buffer, server: KnownServer | undefined): void {
    this.fallback = { head, body }
    this.runs += 1
    this.verdict = Verdict.Ran
    if (server) {
      this.context.directory.observeFault(server.listed.id, this.now)
      this.rejectedBy.add(server.listed.id)
    }
    this.context.log.attemptFailed(this.exchange, server?.listed.id ?? '', { kind: AttemptFailureKind.ServerError, detail: `status ${head.status}` }, Verdict.Ran)
    if (this.mayTryAgain(true)) {
      this.arrivals += 1
      this.tryNext()
      return
    }
    this.passFallback()
  }

  private passFallback (): void {
    if (this.fallback) {
      const { head, body } = this.fallback
      this.answer.send(head.status, head.headers, body)
      this.finish(ExchangeEnd.Answered, String(head.status))
    }
  }

  private onFailed (failure: AttemptFailure): void {
    const { kind } = failure
    const meaning = meaningOf[kind]
    const server = this.settle()
    const id = server?.listed.id ?? ''
    this.context.log.attemptFailed(this.exchange, id, failure, meaning.verdict)
    if (meaning.isServersFault) {
      this.context.directory.observeFault(id, this.now)
    }
    if (kind === AttemptFailureKind.Misdirected) {
      this.context.onMisdirected(id)
    }
    this.rejectedBy.add(id)
    this.arrivals += meaning.isArrival ? 1 : 0
    const hasRun = meaning.verdict !== Verdict.NotRun
    if (hasRun) {
      this.runs += 1
      this.verdict = this.answer.hasBegun ? Verdict.Ran : Verdict.MayHaveRun
    }
    if (this.mayTryAgain(hasRun)) {
      this.tryNext()
      return
    }
    this.fail(meaning.code, 'The request could not be completed.')
  }

  private mayTryAgain (hasRun: boolean): boolean {
    const { exchange } = this
    const { mostAttempts, isStream, isResumable } = exchange.route
    if (this.isOver || exchange.deadline - this.now < LEAST_TRY_MS) {
      return false
    }
    if (this.answer.hasBegun && !(isStream && isResumable && this.isStreaming)) {
      return false
    }
    if (!hasRun) {
      return this.tried.length - this.runs < MOST_REJECTIONS && this.runs < mostAttempts
    }
    return isRepeatable(exchange) && this.runs < mostAttempts
  }

  private onGone (): void {
    if (!this.isOver) {
      this.cancelCurrent()
      this.finish(ExchangeEnd.CallerGone, '')
    }
  }

  private onDeadline (): void {
    if (this.isOver) {
      return
    }
    if (this.current?.attempt.mayHaveArrived === true) {
      this.verdict = Verdict.MayHaveRun
    }
    this.cancelCurrent()
    this.fail(FailureCode.DeadlinePassed, 'The deadline passed before the answer was complete.')
  }

  /** Ends all that is left at a shutdown whose time is up. */
  abort (): void {
    if (!this.isOver) {
      if (this.current?.attempt.mayHaveArrived === true) {
        this.verdict = Verdict.MayHaveRun
      }
      this.cancelCurrent()
      this.fail(FailureCode.Leaving, 'This instance shut down before the answer was complete.')
    }
  }

  private fail (code: FailureCode, message: string): void {
    if (this.fallback && !this.answer.hasBegun) {
      this.passFallback()
      return
    }
    const retryAt = this.verdict === Verdict.NotRun ? this.now + COME_BACK_MS : undefined
    this.answer.fail(Failure.create(code, this.verdict, message, retryAt))
    this.finish(ExchangeEnd.Failed, code)
  }

  private cancelCurrent (): void {
    this.current?.attempt.cancel()
    this.settle()
  }

  /** The current try is over; its server is free of it. */
  private settle (): KnownServer | undefined {
    const { current } = this
    this.current = undefined
    if (current) {
      current.server.outstanding -= 1
      current.server.outstandingTokens -= current.tokens
      if (current.savedLevel !== undefined) {
        this.context.savedLevels.giveBack(current.savedLevel)
      }
    }
    return current?.server
  }

  private finish (end: ExchangeEnd, outcome: string): void {
    this.isOver = true
    this.cancelDeadline()
    this.context.log.ended({ exchange: this.exchange, end, outcome, verdict: this.verdict, servers: this.tried, now: this.now })
    this.context.onOver(this)
  }
}
