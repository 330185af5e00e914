/**
 * Routes calls of plain services by path. Language work never stands before
 * them: they have limits and queues of their own. A call is claimed where it may
 * not be repeated, passes the gate of its service, and is then an exchange of the
 * relay core, which chooses servers, tries, checks answers and says what may
 * have run.
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
import type { Claims } from '../core/claimDesk.js'
import { claimPlainCall } from './claimPlainCall.js'
import { createPlainDesk, retryAllowanceOf } from './createPlainDesk.js'
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

/** The caller's side of one call. */
interface Caller {
  readonly answer: CallerAnswer
  readonly response: ServerResponse
}

/** Waiting calls whose deadline has come are told this soon, milliseconds. */
const TICK_MS = 20

export class PlainRouter {
  private readonly gate = ServiceLimiter.create()
  private readonly log: RelayLog
  private readonly desk: ExchangeDispatcher
  private readonly servers: PlainServers
  private configuration = emptyConfiguration
  private calls = 0
  private open = 0
  private isTicking = false
  private cancelTick: Cancellation = () => {}

  private constructor (private readonly options: PlainRouterOptions) {
    const { clock, random, failureDomain, logs } = options
    this.log = RelayLog.create(logs)
    this.desk = createPlainDesk({ clock, random, failureDomain, log: this.log, configuration: () => this.configuration })
    this.servers = PlainServers.create(this.desk.directory)
  }

  static create (options: PlainRouterOptions): PlainRouter {
    return new PlainRouter(options)
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.gate.configure(configuration, this.options.clock.now())
    this.desk.retries.setAllowance(retryAllowanceOf(configuration))
    this.servers.configure(configuration)
  }

  /** Takes the word of the instance list, or of the server itself. */
  observeLeaving (server: string, isLeaving: boolean): void {
    this.servers.observeLeaving(server, isLeaving)
  }

  /** Calls that wait for their answer. */
  inFlight (): number {
    return this.open
  }

  serve ({ request, reply, account, configuration }: PlainCallContext): void {
    reply.hijack()
    const { clock } = this.options
    const head = readHead(request)
    const response = reply.raw
    response.setHeader(CallerHeader.RequestId, head.id)
    const caller = { response, answer: CallerAnswer.create(response, failure => writeFailure(response, failure, head.id, clock)) }
    matchCall(configuration, request.method, request.url).caseOf({
      Left: failure => this.refuse(caller, head, failure),
      Right: call => {
        this.begin()
        this.serveCall(caller, call, readExchange(head, request, call, account, clock), String(request.headers[CallerHeader.IdempotencyKey] ?? ''))
      }
    })
  }

  private begin (): void {
    this.open += 1
    if (!this.isTicking) {
      this.tick()
    }
  }

  /** Looks after the waiting calls; an instance without any does not tick. */
  private tick (): void {
    const { clock } = this.options
    this.isTicking = this.open > 0
    if (this.isTicking) {
      this.gate.tick(clock.now())
      this.cancelTick = clock.at(clock.now() + TICK_MS, () => this.tick())
    }
  }

  /** Serves the call, under a claim where it may not be repeated and its caller named a key. */
  private async serveCall (caller: Caller, { idempotent }: MatchedCall, exchange: Exchange, idempotencyKey: string): Promise<void> {
    if (idempotent || idempotencyKey === '') {
      this.relay(caller, exchange, () => {})
      return
    }
    const claim = await claimPlainCall(this.options.claims, exchange, { account: exchange.account?.name ?? '', idempotencyKey })
    claim.caseOf({
      Left: failure => {
        this.open -= 1
        this.refuse(caller, exchange, failure)
      },
      Right: settle => this.relay(caller, exchange, settle)
    })
  }

  /**
   * Sends the call as soon as its service has room for it; a caller that goes
   * meanwhile gives its place back.
   * @param onOver is told whether the call may have run.
   */
  private relay (caller: Caller, exchange: Exchange, onOver: (verdict: Verdict) => void): void {
    const { service, deadline } = exchange
    const id = `plain-${++this.calls}`
    const onPass: SlotListener = pass => {
      caller.response.off('close', onGone)
      pass.caseOf({
        Left: failure => {
          this.open -= 1
          this.refuse(caller, exchange, failure)
          onOver(failure.verdict)
        },
        Right: () => this.run(caller, exchange, id, onOver)
      })
    }
    const onGone = (): void => {
      this.gate.withdrawCall(id)
      onPass(Left(Failure.notRun(FailureCode.Cancelled, 'The caller has gone.')))
    }
    caller.response.once('close', onGone)
    this.gate.acquireSlot({ id, service, deadline }, this.options.clock.now(), onPass)
  }

  private run ({ answer }: Caller, exchange: Exchange, id: string, onOver: (verdict: Verdict) => void): void {
    this.desk.runs.start(exchange, answer, verdict => {
      this.open -= 1
      this.gate.releaseSlot(id, this.options.clock.now())
      onOver(verdict)
    })
  }

  private refuse ({ answer }: Caller, head: ExchangeHead, failure: Failure): void {
    this.log.refused(head, failure)
    answer.fail(failure)
  }

  /** Ends what is left at a shutdown whose time is up; nothing is kept open. */
  close (): void {
    this.cancelTick()
    this.gate.refuseAll(Failure.notRun(FailureCode.Leaving, 'This instance is shutting down.', this.options.clock.now()))
    this.desk.runs.abort()
    this.servers.configure(emptyConfiguration)
  }
}
