/**
 * The HTTP server for callers. Checks the head of a request against the
 * configuration in force, reads the body up to its limit, and passes the
 * exchange on.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import { Holding } from 'foxtaillever-policy/relay/processBudget'
import { BlockedAnswers } from '../exchange/blockedAnswers.js'
import { CallerAnswer } from '../exchange/callerAnswer.js'
import type { Exchange, ExchangeHead } from '../model/exchange.js'
import type { CallerLimits } from '../model/routing.js'
import type { CallerWire } from '../model/wire.js'
import { selectService, type RouteTable } from '../routing/routeTable.js'
import { drainBody, hasBody, type BodyExcess } from '../servers/byteBounds.js'
import { ByteSource, type RelayLog } from '../telemetry/relayLog.js'
import { answerFailure, renderLastAnswer, renderUnreadable } from './answerFailure.js'
import { BodyReader } from './bodyReader.js'
import { CallerConnections, type UnsentAnswers } from './callerConnections.js'
import { ConnectionAdmission } from './connectionAdmission.js'
import type { PendingAnswer } from './pendingAnswer.js'
import type { RefusalBounds } from './refuseConnections.js'
import { reserveRequest, reserveUntilAnswered } from './reserveRequest.js'
import { Door, ServerGuard } from './serverGuard.js'

/** How often node:http checks for requests whose head takes too long, milliseconds. */
const HEADER_CHECK_MS = 1000

/** Callers use an idle connection until shortly before its announced end. It is closed here this much later, milliseconds, so that no request meets the close. */
const IDLE_MARGIN_MS = 1000

/** A body is read for this much longer than its caller waits for the answer, milliseconds: one that is complete by then is still refused. */
const BODY_GRACE_MS = 1000

/** Limits until a configuration is known. */
const defaultLimits: CallerLimits = { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 10_000 }

export interface CallerServerOptions {
  readonly clock: Clock
  readonly wire: CallerWire
  readonly log: RelayLog
  /** The configuration in force; undefined until one is known. */
  readonly table: () => RouteTable | undefined
  readonly onExchange: (exchange: Exchange, answer: CallerAnswer) => void
  /** Median delay of the other instances, milliseconds; undefined where none is known. */
  readonly othersDelayMs?: () => number | undefined
  /** Bounds what callers may make the process hold; a guard without a budget if not given. */
  readonly guard?: ServerGuard
}

export class CallerServer {
  private readonly server: Server
  private readonly connections: CallerConnections
  private readonly admission: ConnectionAdmission
  private limits = defaultLimits
  private isKeepAliveEnded = false
  private readonly bodies: BodyReader
  private readonly blockedAnswers: BlockedAnswers
  private readonly guard: ServerGuard

  private constructor (private readonly options: CallerServerOptions) {
    this.guard = options.guard ?? ServerGuard.unlimited()
    this.bodies = BodyReader.create(options.clock)
    this.blockedAnswers = BlockedAnswers.create(() => options.log.unreadAnswerCut())
    this.server = createServer({ connectionsCheckingInterval: HEADER_CHECK_MS, requestTimeout: 0, noDelay: true }, (request, response) => this.handleRequest(request, response))
    this.guard.protect(this.server, Door.Callers, socket => { socket.write(this.renderOverload()) })
    this.connections = CallerConnections.create(this.server, answer => options.log.closedUnsent(answer, options.clock.now()))
    this.admission = ConnectionAdmission.create({ othersDelayMs: () => undefined, ...options, server: this.server, refusalBounds: () => this.refusalBounds() })
    this.server.on('clientError', (error, socket) => this.handleUnreadable(error, socket as Socket))
    this.setLimits(defaultLimits)
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  /** Resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    return await this.admission.listen(host, port)
  }

  /** By how much this instance is late, milliseconds. */
  get delayMs (): number {
    return this.admission.delayMs
  }

  get openConnections (): number {
    return this.connections.open
  }

  /** The most connections that were open at the same time. */
  get peakConnections (): number {
    return this.connections.peak
  }

  /** Answers that are not written out to their callers. */
  get unsent (): UnsentAnswers {
    return this.connections.unsent
  }

  /** By how much the event loop was late at most since the last call, milliseconds. */
  takeLargestDelay (): number {
    return this.admission.takeLargestDelay()
  }

  /** Logs the complete answers that are not written out, since the process ends. */
  logUnsent (): void {
    const { clock, log } = this.options
    this.connections.completeUnsent.forEach(answer => log.stopsUnsent(answer, clock.now()))
  }

  setLimits (limits: CallerLimits): void {
    this.limits = limits
    // Read by node:http for each new connection, though its types know it at creation only.
    Object.assign(this.server, { maxHeaderSize: limits.headerBytes })
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** From now on each answer closes its connection. */
  endKeepAlive (): void {
    this.isKeepAliveEnded = true
  }

  /** Ends the measurement of the event loop too. */
  close (): void {
    this.admission.stopMeasuring()
    this.closeConnections()
  }

  /** Reads what has arrived, then accepts no new connections, and closes those without a request. */
  async stopListening (): Promise<void> {
    await this.admission.drain()
    this.closeConnections()
  }

  private closeConnections (): void {
    this.admission.stopListening()
    this.connections.close()
  }

  private refusalBounds (): RefusalBounds {
    const { headerBytes, bodyBytes, headerTimeoutMs } = this.limits
    const { clock } = this.options
    return { clock, maxBytes: headerBytes + bodyBytes, deadline: clock.now() + headerTimeoutMs }
  }

  private handleRequest (request: IncomingMessage, response: ServerResponse): void {
    const { wire, log } = this.options
    if (this.connections.endsBeforeNext(request.socket)) {
      log.ignoredAfterLast()
      return
    }
    const pending = this.connections.trackRequest(request.socket, response)
    if (this.isKeepAliveEnded) {
      pending.endKeepAlive()
    }
    if (this.connections.unanswered > this.guard.maxRequests) {
      this.refuseForResources(request, response, 'This instance has as many requests in progress as its descriptors allow.')
      return
    }
    if (!reserveRequest(this.guard.budget, request, response)) {
      this.refuseForResources(request, response, 'This instance has as many requests in progress as its memory allows.')
      return
    }
    wire.readHead(request).caseOf({
      Left: reason => {
        log.malformed(reason)
        this.refuseUnread(request, response, () => answerFailure(response, Failure.notRun(FailureCode.BadRequest, reason), this.options.clock.now()))
      },
      Right: head => this.handleHead(head, request, response, pending)
    })
  }

  private renderOverload (): Buffer {
    const now = this.options.clock.now()
    return renderLastAnswer(Failure.notRun(FailureCode.Overloaded, 'This instance has as many incomplete requests as its memory allows.', earliestRetryTime(FailureCode.Overloaded, now)), now)
  }

  /** Refuses a request of which only the head was read, since the process has no room for it. */
  private refuseForResources (request: IncomingMessage, response: ServerResponse, message: string): void {
    const { clock, log } = this.options
    const now = clock.now()
    const failure = Failure.notRun(FailureCode.Overloaded, message, earliestRetryTime(FailureCode.Overloaded, now))
    log.refusedForResources(failure)
    this.refuseUnread(request, response, () => answerFailure(response, failure, now))
  }

  /** What arrives is no request, or no whole one in time. Answers to requests before it are still sent. */
  private handleUnreadable (error: NodeJS.ErrnoException, socket: Socket): void {
    // A caller that has left in the middle of a request gets no answer.
    if (socket.destroyed || (!socket.readableEnded && this.connections.endAfterPending(socket))) {
      return
    }
    if (socket.writable && !socket.readableEnded) {
      socket.write(renderUnreadable(error))
    }
    socket.destroy(error)
  }

  private handleHead (head: ExchangeHead, request: IncomingMessage, response: ServerResponse, pending: PendingAnswer): void {
    const { clock, table, log, onExchange } = this.options
    const arrivedAt = clock.now()
    pending.requestId = head.id
    const refuse = (failure: Failure): void => {
      log.refused(head, failure)
      answerFailure(response, failure, clock.now())
    }
    const refuseUnread = (failure: Failure): void => this.refuseUnread(request, response, () => refuse(failure))
    const routes = table()
    if (!routes) {
      refuseUnread(Failure.notRun(FailureCode.NoConfiguration, 'No configuration is known yet.', earliestRetryTime(FailureCode.NoConfiguration, arrivedAt)))
      return
    }
    routes.find(head.host, head.path)
      .chain(route => routes.authenticate(route, head.apiKey).map(account => ({ route, account })))
      .caseOf({
        Left: refuseUnread,
        Right: ({ route, account }) => {
          const callerDeadline = head.patienceMs === undefined ? Infinity : arrivedAt + head.patienceMs
          const deadline = Math.min(callerDeadline, arrivedAt + route.timeoutMs)
          this.readBody(request, response, refuse, deadline, body => {
            const answer = CallerAnswer.create(response, {
              refuse: failure => answerFailure(response, failure, clock.now()),
              onComplete: () => { pending.completeAt = clock.now() },
              held: reserveUntilAnswered(this.guard.budget, Holding.Answer, response),
              blocked: this.blockedAnswers
            })
            response.once('close', () => this.blockedAnswers.delete(answer))
            onExchange({ ...head, route, account, service: selectService(route, head.resumedId || head.id), body, arrivedAt, callerDeadline, deadline }, answer)
          })
        }
      })
  }

  /** Refuses a request of which only the head was read. Its body is read within the limits of any body, so that the connection can be reused. */
  private refuseUnread (request: IncomingMessage, response: ServerResponse, refuse: () => void): void {
    const { bodyBytes, headerTimeoutMs } = this.limits
    const { clock } = this.options
    const isTooLarge = Number(request.headers['content-length'] ?? 0) > bodyBytes
    if (isTooLarge) {
      response.shouldKeepAlive = false
    }
    refuse()
    if (!isTooLarge && hasBody(request)) {
      drainBody(request, { clock, maxBytes: bodyBytes, deadline: clock.now() + headerTimeoutMs }, excess => this.logExcess(request, excess))
    }
  }

  private logExcess ({ socket }: IncomingMessage, excess: BodyExcess): void {
    this.options.log.bodyExceeded(ByteSource.Caller, socket.remoteAddress ?? '', excess)
  }

  /**
   * A body that exceeds the limit is refused as soon as that is known, and its connection
   * is closed. One that is not complete long after the deadline only closes the connection.
   */
  private readBody (request: IncomingMessage, response: ServerResponse, refuse: (failure: Failure) => void, deadline: number, onBody: (body: Buffer) => void): void {
    this.bodies.read(request, {
      maxBytes: this.limits.bodyBytes,
      deadline: deadline + BODY_GRACE_MS,
      held: reserveUntilAnswered(this.guard.budget, Holding.SmallBody, response),
      onBody,
      onTooLarge: () => {
        response.shouldKeepAlive = false
        refuse(Failure.notRun(FailureCode.TooLarge, 'The body is larger than allowed.'))
      },
      onNoRoom: () => this.refuseForResources(request, response, 'This instance holds as many bytes of bodies as its memory allows.'),
      onExcess: excess => this.logExcess(request, excess)
    })
  }
}
