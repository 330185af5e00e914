/**
 * Routes calls of plain services by path. Language work never stands before
 * them: they have connections and limits of their own. A call that the service
 * does not declare repeatable is sent at most once.
 */
import type { FastifyReply, FastifyRequest } from 'fastify'
import {
  Failure, FailureCode, isRepeatable, Verdict,
  type ClientAccount, type Clock, type Configuration, type PlainService
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Pool, type Dispatcher } from 'undici'
import { isBeforeFirstByte } from '../adapters/isBeforeFirstByte.js'
import { failureBody, failureHeaders } from '../callers/failureBody.js'
import { statusOf } from '../callers/statusOf.js'

export interface PlainCallContext {
  readonly request: FastifyRequest
  readonly reply: FastifyReply
  readonly account: ClientAccount
  readonly configuration: Configuration
}

const CONNECTIONS = 32
const CONNECT_MS = 500

/** Headers of the caller that the service sees. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key', 'x-request-id']

type PlainAnswer = Dispatcher.ResponseData

export class PlainRouter {
  private readonly pools = new Map<string, Pool>()
  private turn = 0

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): PlainRouter {
    return new PlainRouter(clock)
  }

  async serve (context: PlainCallContext): Promise<FastifyReply> {
    const answer = await this.route(context)
    const { reply, request } = context
    return answer.caseOf({
      Left: failure => reply.code(statusOf[failure.code]).headers(failureHeaders(failure, request.id, this.clock)).send(failureBody(failure, request.id)),
      Right: ({ statusCode, headers, body }) => reply.code(statusCode).header('content-type', headers['content-type'] ?? 'application/octet-stream').send(body)
    })
  }

  private async route (context: PlainCallContext): Promise<Either<Failure, PlainAnswer>> {
    const { request, configuration } = context
    const service = Object.values(configuration.services).find(candidate => request.url.startsWith(candidate.path))
    if (!service) {
      return Left(Failure.notRun(FailureCode.UnknownRoute, 'No plain service has this path.'))
    }
    const path = request.url.slice(service.path.length) || '/'
    const call = service.calls.find(candidate => candidate.method === request.method && path.startsWith(candidate.path))
    if (!call) {
      return Left(Failure.notRun(FailureCode.UnknownRoute, `Service ${service.name} has no such call.`))
    }
    return await this.tryServers(context, service, path, call.idempotent)
  }

  /** Tries one server after another as long as repeating is allowed and the deadline ahead. */
  private async tryServers (context: PlainCallContext, service: PlainService, path: string, idempotent: boolean): Promise<Either<Failure, PlainAnswer>> {
    const deadline = this.clock.now() + service.timeoutMs
    const first = this.turn++
    let failure = Failure.notRun(FailureCode.NoBackendServer, `Service ${service.name} has no backend server.`)
    for (let index = 0; index < service.servers.length; index++) {
      const name = service.servers[(first + index) % service.servers.length] ?? ''
      const server = context.configuration.servers[name]
      if (!server || this.clock.now() >= deadline) {
        continue
      }
      const answer = await this.send(server.address, context.request, path, deadline)
      if (answer.isRight() || !isRepeatable(answer.swap().orDefault(failure).verdict, idempotent)) {
        return answer
      }
      failure = answer.swap().orDefault(failure)
    }
    return Left(failure)
  }

  private async send (address: string, request: FastifyRequest, path: string, deadline: number): Promise<Either<Failure, PlainAnswer>> {
    const limit = Math.max(1, deadline - this.clock.now())
    const headers = Object.fromEntries(FORWARDED_HEADERS.flatMap(name => {
      const value = request.headers[name]
      return typeof value === 'string' ? [[name, value]] : []
    }))
    try {
      return Right(await this.poolOf(address).request({
        method: request.method as Dispatcher.HttpMethod,
        path,
        headers,
        body: request.body === undefined ? null : JSON.stringify(request.body),
        headersTimeout: limit,
        bodyTimeout: limit
      }))
    } catch (error) {
      const verdict = isBeforeFirstByte(error) ? Verdict.NotRun : Verdict.MayHaveRun
      return Left(Failure.create(FailureCode.ConnectionLost, verdict, 'The plain service did not answer.'))
    }
  }

  private poolOf (address: string): Pool {
    const pool = this.pools.get(address) ?? new Pool(`http://${address}`, { connections: CONNECTIONS, connect: { timeout: CONNECT_MS } })
    this.pools.set(address, pool)
    return pool
  }

  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(async pool => await pool.destroy()))
  }
}
