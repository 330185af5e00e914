/** The HTTP server for callers: the usual completions protocol. */
import { randomUUID } from 'node:crypto'
import fastify, { type FastifyError, type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { CallerHeader, EnginePath, Failure, FailureCode, type ClientAccount, type Clock, type Configuration } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { CallerConnections } from 'foxtaillever-relay/callers/callerConnections'
import { Door, type ServerGuard } from 'foxtaillever-relay/callers/serverGuard'
import type { RouterCore } from '../core/routerCore.js'
import type { InstanceLimits } from '../instance/entryInstanceOptions.js'
import type { PlainRouter } from '../plain/plainRouter.js'
import type { Accounts } from './accounts.js'
import { answerBrokenRequest } from './answerBrokenRequest.js'
import { failureBody, failureHeaders } from './failureBody.js'
import { readSubmission, type CompletionPath, type ReadCall } from './readSubmission.js'
import { RequestReservations } from './requestReservations.js'
import { statusOf } from './statusOf.js'
import { readStreamResumption, type StreamResumption } from './readStreamResumption.js'
import { StreamResponder } from './streamResponder.js'
import type { StreamTokens } from './streamToken.js'
import { BufferedResponder } from './bufferedResponder.js'

export interface CallerServerOptions {
  readonly clock: Clock
  readonly core: RouterCore
  readonly plain: PlainRouter
  readonly accounts: Accounts
  readonly tokens: StreamTokens
  readonly configuration: () => Configuration | undefined
  /** Whether new requests are accepted; false once a shutdown has begun. */
  readonly accepting: () => boolean
  /** Bounds what callers may make the process hold. */
  readonly guard: ServerGuard
  readonly limits: Pick<InstanceLimits, 'bodyBytes' | 'headerBytes' | 'arrivalTimeoutMs' | 'idleTimeoutMs'>
  /** Notified of calls that were refused before they became requests. */
  readonly onRejected?: (requestId: string, failure: Failure) => void
}

/** Interval at which slow senders are checked, milliseconds; with the library's default of 30 s they would have twice their time. */
const SLOW_SENDER_CHECK_INTERVAL_MS = 1000
/** Maximum length of a path parameter, characters; stream tokens are part of the path. */
const MAX_PARAMETER_CHARACTERS = 2048

interface AdmittedCall {
  readonly account: ClientAccount
  readonly configuration: Configuration
}

export class CallerServer {
  readonly http: FastifyInstance
  private readonly connections: CallerConnections

  private constructor (private readonly options: CallerServerOptions) {
    const { bodyBytes, headerBytes, arrivalTimeoutMs, idleTimeoutMs } = options.limits
    this.http = fastify({
      bodyLimit: bodyBytes,
      routerOptions: { maxParamLength: MAX_PARAMETER_CHARACTERS },
      requestTimeout: arrivalTimeoutMs,
      keepAliveTimeout: idleTimeoutMs,
      http: {
        maxHeaderSize: headerBytes,
        // The library takes the larger of the two limits for the whole request.
        headersTimeout: arrivalTimeoutMs,
        connectionsCheckingInterval: Math.min(arrivalTimeoutMs, SLOW_SENDER_CHECK_INTERVAL_MS)
      },
      clientErrorHandler: answerBrokenRequest
    })
    options.guard.protect(this.http.server, Door.Callers)
    this.reserveResources()
    this.connections = CallerConnections.create(this.http.server, () => true)
    this.http.server.on('request', (request, response) => this.connections.trackRequest(request.socket, response))
    this.http.setErrorHandler((error: FastifyError, request, reply) => this.refuse(request, reply, readHttpError(error)))
    this.addHealth()
    this.addModels()
    this.addCompletions(EnginePath.Completions)
    this.addCompletions(EnginePath.ChatCompletions)
    this.addStreams()
    this.addPlainServices()
  }

  static create (options: CallerServerOptions): CallerServer {
    return new CallerServer(options)
  }

  /** Number of answers that are not written out to their callers. */
  get unsentAnswers (): number {
    return this.connections.unsent.answers
  }

  private reserveResources (): void {
    const reservations = RequestReservations.create(this.options.clock, this.options.guard)
    this.http.addHook('onRequest', (request, reply, done) => {
      const failure = reservations.reserve(request.raw, reply.raw)
      if (failure) {
        this.refuse(request, reply, failure)
      } else {
        done()
      }
    })
    this.http.addHook('preParsing', (request, _reply, payload, done) => {
      reservations.reserveChunks(request.raw)
      done(null, payload)
    })
  }

  private addHealth (): void {
    this.http.get('/healthz', async () => ({ status: 'alive' }))
    this.http.get('/readyz', (_, reply) => {
      const ready = this.options.accepting() && this.options.configuration() !== undefined
      reply.code(ready ? 200 : 503).send({ status: ready ? 'ready' : 'not ready' })
    })
  }

  private addModels (): void {
    this.http.get('/v1/models', (request, reply) => {
      this.admit(request).caseOf({
        Left: failure => this.refuse(request, reply, failure),
        Right: ({ configuration }) => {
          const data = Object.keys(configuration.models).map(id => ({ id, object: 'model', created: 0, owned_by: 'foxtaillever' }))
          reply.send({ object: 'list', data })
        }
      })
    })
  }

  private admit (request: FastifyRequest): Either<Failure, AdmittedCall> {
    if (!this.options.accepting()) {
      return Left(Failure.notRun(FailureCode.Leaving, 'This instance is shutting down.', this.options.clock.now()))
    }
    const configuration = this.options.configuration()
    if (!configuration) {
      return Left(Failure.notRun(FailureCode.NoConfiguration, 'No configuration has been read yet.', this.options.clock.now() + 1000))
    }
    return this.options.accounts.authenticate(request.headers.authorization).chain(account => Right({ account, configuration }))
  }

  private addCompletions (path: CompletionPath): void {
    this.http.post(path, (request, reply) => {
      this.admit(request)
        .chain(({ account, configuration }) => readSubmission({ headers: request.headers, path, body: request.body, account, configuration, clock: this.options.clock }))
        .caseOf({
          Left: failure => this.refuse(request, reply, failure),
          Right: call => this.serve(call, reply, request.headers[CallerHeader.KeepStream] === 'true')
        })
    })
  }

  private serve (call: ReadCall, reply: FastifyReply, mayResume: boolean): void {
    reply.hijack()
    const response = reply.raw
    const { submission, includeUsage } = call
    const { tokens, clock, core } = this.options
    const options = { response, submission, clock, includeUsage, tokens }
    const responder = call.stream ? StreamResponder.create(options) : BufferedResponder.create(options)
    this.watchConnection(reply, submission.job.id, call.stream && mayResume)
    core.submit(submission, responder)
  }

  /** Handles a caller that reads slowly or disconnects. */
  private watchConnection (reply: FastifyReply, jobId: string, mayResume: boolean): void {
    const response = reply.raw
    response.on('close', () => {
      if (!response.writableFinished) {
        this.options.core.abandon(jobId, mayResume)
      }
    })
    response.on('drain', () => this.options.core.resumeReading(jobId))
  }

  /** Resumes a stream where its caller was disconnected, whichever instance began it. */
  private addStreams (): void {
    this.http.get<{ Params: { token: string } }>('/v1/streams/:token', (request, reply) => {
      const { clock, tokens } = this.options
      this.admit(request)
        .chain(({ account, configuration }) => readStreamResumption({ token: request.params.token, headers: request.headers, account, configuration, clock, tokens }))
        .caseOf({
          Left: failure => this.refuse(request, reply, failure),
          Right: call => this.resumeStream(call, reply)
        })
    })
  }

  private resumeStream ({ submission, position }: StreamResumption, reply: FastifyReply): void {
    reply.hijack()
    const { tokens, clock, core } = this.options
    this.watchConnection(reply, submission.job.id, true)
    core.resumeStream(submission, position, StreamResponder.create({ response: reply.raw, submission, clock, includeUsage: false, tokens }))
  }

  /** Any path outside the completions protocol may belong to a plain service; its body is passed on unchanged. */
  private addPlainServices (): void {
    this.http.register(async plain => {
      plain.removeAllContentTypeParsers()
      plain.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body))
      plain.all('/*', (request, reply) => {
        this.admit(request).caseOf({
          Left: failure => this.refuse(request, reply, failure),
          Right: ({ account, configuration }) => this.options.plain.serve({ request, reply, account, configuration })
        })
      })
    })
  }

  private refuse (request: FastifyRequest, reply: FastifyReply, failure: Failure): void {
    const id = typeof request.headers[CallerHeader.RequestId] === 'string' ? request.headers[CallerHeader.RequestId] : randomUUID()
    this.options.onRejected?.(id, failure)
    reply.code(statusOf[failure.code])
      .headers(failureHeaders(failure, id, this.options.clock))
      .send(failureBody(failure, id))
  }
}

/** Errors found by the HTTP library before a handler ran: nothing was sent to a backend server. */
function readHttpError (error: FastifyError): Failure {
  if (error.statusCode === 413) {
    return Failure.notRun(FailureCode.TooLarge, 'The body is too large.')
  }
  if (error.statusCode !== undefined && error.statusCode < 500) {
    return Failure.notRun(FailureCode.BadRequest, error.message)
  }
  return Failure.notRun(FailureCode.Internal, 'The request could not be read.')
}
