/**
 * Routes calls of plain services by path. Language work never stands before
 * them: they have connections, limits and queues of their own. A call that the
 * service does not declare repeatable is sent at most once.
 */
import { randomUUID } from 'node:crypto'
import type { FastifyReply, FastifyRequest } from 'fastify'
import {
  CallerHeader, Failure, FailureCode, isRepeatable, Verdict,
  type Cancellation, type ClientAccount, type Clock, type Configuration
} from 'foxtaillever-core'
import { CallOutcome, type ServiceGate, type ServicePass } from 'foxtaillever-policy'
import { EitherAsync, Left, type Either } from 'purify-ts'
import { PlainClient, type PlainAnswer, type PlainRequest } from '../adapters/plainClient.js'
import { failureBody, failureHeaders } from '../callers/failureBody.js'
import { statusOf } from '../callers/statusOf.js'
import { worseVerdict } from '../core/worseVerdict.js'
import type { Claims } from '../core/claimDesk.js'
import { claimPlainCall, type ClaimedCall } from './claimPlainCall.js'
import { matchCall, type MatchedCall } from './matchCall.js'

export interface PlainRouterOptions {
  readonly clock: Clock
  readonly gate: ServiceGate
  /** Claims of calls that may not be repeated. */
  readonly claims: Claims
}

export interface PlainCallContext {
  readonly request: FastifyRequest
  readonly reply: FastifyReply
  readonly account: ClientAccount
  readonly configuration: Configuration
}

/** Headers of the caller that the service sees. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', CallerHeader.IdempotencyKey, CallerHeader.RequestId]

/** Headers of the service that the caller sees. */
const RETURNED_HEADERS = ['content-type', 'content-length', 'content-disposition', 'etag', 'last-modified', 'cache-control']

/** Tries of a repeatable call at most; more would only lengthen an outage. */
const MOST_TRIES = 3

/** Failures of one server, which another may not have. */
const triedAgain = new Set([FailureCode.ConnectionRefused, FailureCode.ConnectionLost])

/** Waiting calls whose deadline has come are told this soon, milliseconds. */
const TICK_MS = 20

export class PlainRouter {
  private readonly client: PlainClient
  private calls = 0
  private open = 0
  private isTicking = false
  private cancelTick: Cancellation = () => {}

  private readonly clock: Clock
  private readonly gate: ServiceGate

  private constructor (private readonly options: PlainRouterOptions) {
    this.clock = options.clock
    this.gate = options.gate
    this.client = PlainClient.create(options.clock)
  }

  static create (options: PlainRouterOptions): PlainRouter {
    return new PlainRouter(options)
  }

  /** Looks after the waiting calls; an instance without any does not tick. */
  private tick (): void {
    this.isTicking = this.open > 0
    if (this.isTicking) {
      this.gate.tick(this.clock.now())
      this.cancelTick = this.clock.at(this.clock.now() + TICK_MS, () => this.tick())
    }
  }

  /** Calls that wait for their answer. */
  inFlight (): number {
    return this.open
  }

  async serve (context: PlainCallContext): Promise<FastifyReply> {
    const { reply, request, configuration } = context
    this.open += 1
    if (!this.isTicking) {
      this.tick()
    }
    const answer = await EitherAsync.liftEither(matchCall(configuration, request.method, request.url))
      .chain(async call => await this.serveCall(context, call))
    this.open -= 1
    return answer.caseOf({
      Left: failure => this.refuse(reply, request, failure),
      Right: served => this.pass(reply, served)
    })
  }

  private refuse (reply: FastifyReply, request: FastifyRequest, failure: Failure): FastifyReply {
    return reply.code(statusOf[failure.code])
      .headers(failureHeaders(failure, request.id, this.clock))
      .send(failureBody(failure, request.id))
  }

  private pass (reply: FastifyReply, { statusCode, headers, body }: PlainAnswer): FastifyReply {
    for (const name of RETURNED_HEADERS) {
      const value = headers[name]
      if (value !== undefined) {
        reply.header(name, value)
      }
    }
    return reply.code(statusCode).send(body)
  }

  /** Serves the call, under a claim where it may not be repeated and its caller named a key. */
  private async serveCall (context: PlainCallContext, call: MatchedCall): Promise<Either<Failure, PlainAnswer>> {
    const request = this.readRequest(context.request, call)
    const idempotencyKey = request.headers[CallerHeader.IdempotencyKey] ?? ''
    if (call.idempotent || idempotencyKey === '') {
      return await this.tryServers(context, call, request)
    }
    const claimed: ClaimedCall = { id: randomUUID(), account: context.account.name, service: call.service.name, idempotencyKey, request }
    return await EitherAsync.liftEither(await claimPlainCall(this.options.claims, claimed)).chain(async settle => {
      const answer = await this.tryServers(context, call, request)
      settle(answer.caseOf({ Left: failure => failure.verdict, Right: () => Verdict.Ran }))
      return answer
    })
  }

  /** Tries again as long as repeating is allowed and the deadline ahead. */
  private async tryServers (context: PlainCallContext, call: MatchedCall, request: PlainRequest): Promise<Either<Failure, PlainAnswer>> {
    const failedAt: string[] = []
    let verdict = Verdict.NotRun
    let failure = Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed before the call was sent.')
    for (let tries = 0; tries < MOST_TRIES && this.clock.now() < request.deadline; tries++) {
      const answer = await this.tryOnce(context, call, request, failedAt)
      if (answer.isRight()) {
        return answer
      }
      failure = answer.swap().orDefault(failure)
      verdict = worseVerdict(verdict, failure.verdict)
      if (!triedAgain.has(failure.code) || !isRepeatable(failure.verdict, call.idempotent)) {
        break
      }
    }
    return Left(failure.withVerdict(verdict))
  }

  /** @param failedAt gets the server's name when the try fails. */
  private async tryOnce (context: PlainCallContext, call: MatchedCall, request: PlainRequest, failedAt: string[]): Promise<Either<Failure, PlainAnswer>> {
    const pass = await this.acquire(context.reply, call, request.deadline, [...failedAt])
    return await EitherAsync.liftEither(pass).chain(async ({ callId, server }) => {
      const answer = await this.client.send(context.configuration.servers[server]?.address ?? '', request)
      this.gate.release(callId, answer.isRight() ? CallOutcome.Answered : CallOutcome.Failed, this.clock.now())
      return answer.ifLeft(() => failedAt.push(server))
    })
  }

  /** Waits for leave to send; a caller that goes meanwhile gives its place back. */
  private async acquire (reply: FastifyReply, call: MatchedCall, deadline: number, failedAt: readonly string[]): Promise<Either<Failure, ServicePass>> {
    const id = `plain-${++this.calls}`
    return await new Promise(resolve => {
      reply.raw.once('close', () => {
        this.gate.withdraw(id)
        resolve(Left(Failure.notRun(FailureCode.Cancelled, 'The caller has gone.')))
      })
      this.gate.acquire({ id, service: call.service.name, deadline, failedAt }, this.clock.now(), resolve)
    })
  }

  private readRequest (request: FastifyRequest, call: MatchedCall): PlainRequest {
    const headers: Record<string, string> = {}
    for (const name of FORWARDED_HEADERS) {
      const value = request.headers[name]
      if (typeof value === 'string') {
        headers[name] = value
      }
    }
    return {
      method: request.method,
      path: call.path,
      headers,
      body: Buffer.isBuffer(request.body) ? request.body : undefined,
      deadline: this.readDeadline(request, call)
    }
  }

  /** The service's own, or the caller's when that is sooner. */
  private readDeadline (request: FastifyRequest, call: MatchedCall): number {
    const now = this.clock.now()
    const asked = [Number(request.headers[CallerHeader.Deadline]), now + Number(request.headers[CallerHeader.Timeout])]
    return Math.min(now + call.service.timeoutMs, ...asked.filter(Number.isFinite))
  }

  async close (): Promise<void> {
    this.cancelTick()
    await this.client.close()
  }
}
