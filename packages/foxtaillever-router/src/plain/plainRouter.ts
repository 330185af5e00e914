/**
 * Routes calls of plain services by path. Language work never stands before
 * them: they have connections and limits of their own. A call that the service
 * does not declare repeatable is sent at most once.
 */
import type { FastifyReply, FastifyRequest } from 'fastify'
import {
  CallerHeader, Failure, FailureCode, isRepeatable,
  type BackendServer, type ClientAccount, type Clock, type Configuration
} from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import { PlainClient, type PlainAnswer, type PlainRequest } from '../adapters/plainClient.js'
import { failureBody, failureHeaders } from '../callers/failureBody.js'
import { statusOf } from '../callers/statusOf.js'
import { matchCall, type MatchedCall } from './matchCall.js'

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

export class PlainRouter {
  private readonly client: PlainClient
  private turn = 0

  private constructor (private readonly clock: Clock) {
    this.client = PlainClient.create(clock)
  }

  static create (clock: Clock): PlainRouter {
    return new PlainRouter(clock)
  }

  async serve (context: PlainCallContext): Promise<FastifyReply> {
    const { reply, request, configuration } = context
    const matched = matchCall(configuration, request.method, request.url)
    const answer = await matched.caseOf({
      Left: async failure => Left(failure),
      Right: async call => await this.tryServers(context, call)
    })
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

  /** Tries one server after another as long as repeating is allowed and the deadline ahead. */
  private async tryServers (context: PlainCallContext, call: MatchedCall): Promise<Either<Failure, PlainAnswer>> {
    const request = this.readRequest(context.request, call)
    let failure = Failure.notRun(FailureCode.NoBackendServer, `Service ${call.service.name} has no backend server.`, this.clock.now() + 1000)
    for (const server of this.serversInTurn(context.configuration, call)) {
      if (this.clock.now() >= request.deadline) {
        break
      }
      const answer = await this.client.send(server.address, request)
      if (answer.isRight()) {
        return answer
      }
      failure = answer.swap().orDefault(failure)
      if (!isRepeatable(failure.verdict, call.idempotent)) {
        break
      }
    }
    return Left(failure)
  }

  private serversInTurn (configuration: Configuration, call: MatchedCall): BackendServer[] {
    const servers = call.service.servers
      .map(name => configuration.servers[name])
      .filter(server => server !== undefined)
    const first = servers.length === 0 ? 0 : this.turn++ % servers.length
    return [...servers.slice(first), ...servers.slice(0, first)]
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
      deadline: this.clock.now() + call.service.timeoutMs
    }
  }

  async close (): Promise<void> {
    await this.client.close()
  }
}
