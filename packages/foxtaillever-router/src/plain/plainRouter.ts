/**
 * Routes calls of plain services by path. They have their own limits and queues,
 * so that they never wait behind language requests. A call that may not be
 * repeated is claimed first. A call then passes the gate of its service and
 * becomes an exchange of the relay core, which selects servers, makes attempts,
 * checks answers and gives the verdict.
 */
import type { ServerResponse } from 'node:http'
import type { FastifyReply, FastifyRequest } from 'fastify'
import {
  CallerHeader, emptyConfiguration, Failure, FailureCode,
  type Cancellation, type ClientAccount, type Clock, type Configuration, type Random, type Verdict
} from 'foxtaillever-core'
import { ServiceLimiter, type SlotListener } from 'foxtaillever-policy'
import { CallerAnswer } from 'foxtaillever-relay/exchange/callerAnswer'
import type { ExchangeDispatcher } from 'foxtaillever-relay/exchange/exchangeDispatcher'
import type { Exchange, ExchangeHead } from 'foxtaillever-relay/model/exchange'
import { RelayLog } from 'foxtaillever-relay/telemetry/relayLog'
import type { Logs } from 'foxtaillever-telemetry'
import { Left } from 'purify-ts'
import { writeFailure } from '../callers/writeFailure.js'
import type { Claims } from '../core/claims.js'
import { claimPlainCall } from './claimPlainCall.js'
import { createPlainDispatcher, retryAllowanceOf } from './createPlainDispatcher.js'
import { matchCall, type MatchedCall } from './matchCall.js'
import { PlainServers } from './plainServers.js'
import { readExchange, readHead } from './readExchange.js'

export interface PlainRouterOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly logs: Logs
  /** Claims of calls that may not be repeated. */
  readonly claims: Claims
}

export interface PlainCallContext {
  readonly request: FastifyRequest
  readonly reply: FastifyReply
  readonly account: ClientAccount
  readonly configuration: Configuration
}

/** The connection to the caller of one call. */
interface Caller {
  readonly answer: CallerAnswer
  readonly response: ServerResponse
}

/** Interval at which the deadlines of waiting calls are checked, milliseconds. */
const TICK_MS = 20

export class PlainRouter {
  private readonly gate = ServiceLimiter.create()
  private readonly log: RelayLog
  private readonly dispatcher: ExchangeDispatcher
  private readonly servers: PlainServers
  private configuration = emptyConfiguration
  private callCount = 0
  private callsInFlight = 0
  private isTicking = false
  private cancelTick: Cancellation = () => {}

  private constructor (private readonly options: PlainRouterOptions) {
    const { clock, random, failureDomain, logs } = options
    this.log = RelayLog.create(logs)
    this.dispatcher = createPlainDispatcher({ clock, random, failureDomain, log: this.log, configuration: () => this.configuration })
    this.servers = PlainServers.create(this.dispatcher.directory)
  }

  static create (options: PlainRouterOptions): PlainRouter {
    return new PlainRouter(options)
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.gate.configure(configuration, this.options.clock.now())
    this.dispatcher.retries.setAllowance(retryAllowanceOf(configuration))
    this.servers.configure(configuration)
  }

  /** Records whether the server is leaving, as the instance list or the server itself reports. */
  setLeaving (server: string, isLeaving: boolean): void {
    this.servers.setLeaving(server, isLeaving)
  }

  /** Number of calls that wait for their answer. */
  inFlight (): number {
    return this.callsInFlight
  }

  serve ({ request, reply, account, configuration }: PlainCallContext): void {
    reply.hijack()
    const { clock } = this.options
    const head = readHead(request)
    const response = reply.raw
    response.setHeader(CallerHeader.RequestId, head.id)
    const caller = { response, answer: CallerAnswer.create(response, { refuse: failure => writeFailure(response, failure, head.id, clock) }) }
    matchCall(configuration, request.method, request.url).caseOf({
      Left: failure => this.refuse(caller, head, failure),
      Right: call => {
        this.beginCall()
        this.serveCall(caller, call, readExchange(head, request, call, account, clock), String(request.headers[CallerHeader.IdempotencyKey] ?? ''))
      }
    })
  }

  private beginCall (): void {
    this.callsInFlight += 1
    if (!this.isTicking) {
      this.tick()
    }
  }

  /** Checks the waiting calls; an instance without any does not tick. */
  private tick (): void {
    const { clock } = this.options
    this.isTicking = this.callsInFlight > 0
    if (this.isTicking) {
      this.gate.tick(clock.now())
      this.cancelTick = clock.at(clock.now() + TICK_MS, () => this.tick())
    }
  }

  /** Serves the call, under a claim if it may not be repeated and its caller gave a key. */
  private async serveCall (caller: Caller, { idempotent }: MatchedCall, exchange: Exchange, idempotencyKey: string): Promise<void> {
    if (idempotent || idempotencyKey === '') {
      this.relay(caller, exchange, () => {})
      return
    }
    const claim = await claimPlainCall(this.options.claims, exchange, { account: exchange.account?.name ?? '', idempotencyKey })
    claim.caseOf({
      Left: failure => {
        this.callsInFlight -= 1
        this.refuse(caller, exchange, failure)
      },
      Right: settle => this.relay(caller, exchange, settle)
    })
  }

  /**
   * Sends the call as soon as its service has capacity; if the caller disconnects
   * before that, its place in the queue is released.
   * @param onEnded receives the verdict of the call.
   */
  private relay (caller: Caller, exchange: Exchange, onEnded: (verdict: Verdict) => void): void {
    const { service, deadline } = exchange
    const id = `plain-${++this.callCount}`
    const onPass: SlotListener = pass => {
      caller.response.off('close', onCallerGone)
      pass.caseOf({
        Left: failure => {
          this.callsInFlight -= 1
          this.refuse(caller, exchange, failure)
          onEnded(failure.verdict)
        },
        Right: () => this.run(caller, exchange, id, onEnded)
      })
    }
    const onCallerGone = (): void => {
      this.gate.withdrawCall(id)
      onPass(Left(Failure.notRun(FailureCode.Cancelled, 'The caller has gone.')))
    }
    caller.response.once('close', onCallerGone)
    this.gate.acquireSlot({ id, service, deadline }, this.options.clock.now(), onPass)
  }

  private run ({ answer }: Caller, exchange: Exchange, id: string, onEnded: (verdict: Verdict) => void): void {
    this.dispatcher.runs.start(exchange, answer, verdict => {
      this.callsInFlight -= 1
      this.gate.releaseSlot(id, this.options.clock.now())
      onEnded(verdict)
    })
  }

  private refuse ({ answer }: Caller, head: ExchangeHead, failure: Failure): void {
    this.log.refused(head, failure)
    answer.fail(failure)
  }

  /** Aborts all remaining calls and closes all connections when the time of a shutdown is up. */
  close (): void {
    this.cancelTick()
    this.gate.refuseAll(Failure.notRun(FailureCode.Leaving, 'This instance is shutting down.', this.options.clock.now()))
    this.dispatcher.runs.abort()
    this.servers.configure(emptyConfiguration)
  }
}
