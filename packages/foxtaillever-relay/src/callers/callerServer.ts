/**
 * Takes requests from callers: checks the head against the configuration in
 * force, reads the body within its bounds, and hands the exchange over.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Failure, FailureCode, type Clock, type Random } from 'foxtaillever-core'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import { CallerAnswer } from '../exchange/callerAnswer.js'
import type { Exchange, ExchangeHead } from '../model/exchange.js'
import type { CallerLimits } from '../model/routing.js'
import type { CallerWire } from '../model/wire.js'
import { drawService, type RouteTable } from '../routing/routeTable.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { answerFailure } from './answerFailure.js'
import { CallerConnections } from './callerConnections.js'

/** How often node:http looks for requests whose head takes too long, milliseconds. */
const HEADER_CHECK_MS = 1000

/** Callers use a connection until shortly before its announced end; ours ends later, so that no request crosses it, milliseconds. */
const IDLE_MARGIN_MS = 1000

/** Limits until a configuration is known. */
const defaultLimits: CallerLimits = { headerBytes: 16_384, bodyBytes: 1_048_576, headerTimeoutMs: 5000, idleTimeoutMs: 10_000 }

export interface CallerServerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly wire: CallerWire
  readonly log: RelayLog
  /** The configuration in force; undefined until one is known. */
  readonly table: () => RouteTable | undefined
  readonly onExchange: (exchange: Exchange, answer: CallerAnswer) => void
}

export class CallerServer {
  private readonly server: Server
  private readonly connections: CallerConnections
  private limits = defaultLimits
  private isLeaving = false

  private constructor (private readonly options: CallerServerOptions) {
    this.server = createServer({ connectionsCheckingInterval: HEADER_CHECK_MS, requestTimeout: 0, noDelay: true }, (request, response) => this.take(request, response))
    this.connections = CallerConnections.create(this.server)
    this.setLimits(defaultLimits)
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  async listen (host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, host, resolve)
    })
    return (this.server.address() as AddressInfo).port
  }

  setLimits (limits: CallerLimits): void {
    this.limits = limits
    // Read by node:http for each new connection, though its types know it at creation only.
    Object.assign(this.server, { maxHeaderSize: limits.headerBytes })
    this.server.headersTimeout = limits.headerTimeoutMs
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
  }

  /** From now on each answer is the last on its connection. */
  leave (): void {
    this.isLeaving = true
  }

  /** Takes no new connections and closes those without a request. */
  close (): void {
    this.server.close()
    this.connections.close()
  }

  private take (request: IncomingMessage, response: ServerResponse): void {
    this.connections.hold(request.socket, response)
    if (this.isLeaving) {
      response.shouldKeepAlive = false
    }
    const { wire, log } = this.options
    wire.readHead(request).caseOf({
      Left: reason => {
        log.malformed(reason)
        answerFailure(response, Failure.notRun(FailureCode.BadRequest, reason), this.options.clock.now())
      },
      Right: head => this.takeHead(head, request, response)
    })
  }

  private takeHead (head: ExchangeHead, request: IncomingMessage, response: ServerResponse): void {
    const { clock, random, table, log, onExchange } = this.options
    const arrivedAt = clock.now()
    const refuse = (failure: Failure): void => {
      log.refused(head, failure)
      answerFailure(response, failure, clock.now())
    }
    const routes = table()
    if (!routes) {
      refuse(Failure.notRun(FailureCode.NoConfiguration, 'No configuration is known yet.', earliestRetryTime(FailureCode.NoConfiguration, arrivedAt)))
      return
    }
    routes.find(head.host, head.path)
      .chain(route => routes.authenticate(route, head.apiKey).map(account => ({ route, account })))
      .caseOf({
        Left: refuse,
        Right: ({ route, account }) => {
          const callerDeadline = head.patienceMs === undefined ? Infinity : arrivedAt + head.patienceMs
          const deadline = Math.min(callerDeadline, arrivedAt + route.timeoutMs)
          this.readBody(request, response, refuse, body => {
            onExchange({ ...head, route, account, service: drawService(route, random), body, arrivedAt, callerDeadline, deadline }, CallerAnswer.create(response, failure => answerFailure(response, failure, clock.now())))
          })
        }
      })
  }

  /** A body beyond the limit is refused as soon as that is known, and its connection ends. */
  private readBody (request: IncomingMessage, response: ServerResponse, refuse: (failure: Failure) => void, onBody: (body: Buffer) => void): void {
    const { bodyBytes } = this.limits
    const chunks: Buffer[] = []
    let length = 0
    let isOver = false
    const refuseTooLarge = (): void => {
      isOver = true
      response.shouldKeepAlive = false
      refuse(Failure.notRun(FailureCode.TooLarge, 'The body is larger than allowed.'))
    }
    if (Number(request.headers['content-length'] ?? 0) > bodyBytes) {
      refuseTooLarge()
      return
    }
    request.on('data', (chunk: Buffer) => {
      length += chunk.length
      if (length > bodyBytes && !isOver) {
        refuseTooLarge()
      }
      if (!isOver) {
        chunks.push(chunk)
      }
    })
    request.on('end', () => {
      if (!isOver) {
        onBody(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks))
      }
    })
    // A caller that leaves while it sends has nothing to hear.
    request.on('error', () => { isOver = true })
  }
}
