/**
 * Serves the engine model over HTTP: completions over server-sent events,
 * resume, cancel, load, events, state, orders and kept cache, and the control
 * route for faults.
 */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import {
  EngineHeader, EnginePath, Failure, FailureCode, renderMessages, Verdict,
  type CacheExport, type CacheImport, type ChatMessage, type EngineOrder
} from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import { closeServerOnCrash, waitWhileFrozen } from './crashServer.js'
import type { EngineFaults } from './engineFaults.js'
import type { EngineModel } from './engineModel.js'
import type { Generation } from './generation.js'
import { chatChunk, SocketSink, textChunk, type ChunkFormat } from './socketSink.js'

const BODY_LIMIT_BYTES = 16 * 1024 * 1024
const DEFAULT_MAX_TOKENS = 16

/** Control route of all stand-ins. */
const FAULTS_PATH = '/faults'

interface CompletionBody {
  readonly model: string
  readonly prompt?: string
  readonly messages?: readonly ChatMessage[]
  readonly max_tokens?: number
}

/** Faults to set, and actions to run at once. */
interface FaultsBody extends Partial<EngineFaults> {
  readonly crash?: boolean
  readonly leave?: boolean
}

interface ResumeQuery {
  readonly after?: string
  readonly form?: string
  readonly request?: string
  readonly model?: string
}

function header (request: FastifyRequest, name: EngineHeader): string {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

function readGeneration (request: FastifyRequest): Generation {
  const body = request.body as CompletionBody
  return {
    requestId: header(request, EngineHeader.RequestId),
    account: header(request, EngineHeader.Account),
    model: body.model,
    prompt: body.messages ? renderMessages(body.messages) : body.prompt ?? '',
    maxTokens: body.max_tokens ?? DEFAULT_MAX_TOKENS,
    continueAfter: Number(header(request, EngineHeader.ContinueAfter) || 0),
    priority: Number(header(request, EngineHeader.Priority) || 1),
    expectedIncarnation: header(request, EngineHeader.ExpectedIncarnation),
    expectedWeights: header(request, EngineHeader.ExpectedWeights),
    idempotencyKey: header(request, EngineHeader.IdempotencyKey)
  }
}

const STATUS_UNAVAILABLE = 503
const statusCodes: Partial<Record<FailureCode, number>> = {
  [FailureCode.Stale]: 409,
  [FailureCode.Forbidden]: 403,
  [FailureCode.UnknownRoute]: 404
}

/** Writes to the raw response, since the reply is hijacked. */
function sendFailure (reply: FastifyReply, failure: Failure): void {
  reply.raw.writeHead(statusCodes[failure.code] ?? STATUS_UNAVAILABLE, { 'content-type': 'application/json', [EngineHeader.Verdict]: failure.verdict })
  reply.raw.end(JSON.stringify({ error: { code: failure.code, message: failure.message, verdict: failure.verdict } }))
}

function sendResult (reply: FastifyReply, result: Either<Failure, object>): void {
  reply.hijack()
  result.caseOf({
    Left: failure => sendFailure(reply, failure),
    Right: body => {
      reply.raw.writeHead(200, { 'content-type': 'application/json' })
      reply.raw.end(JSON.stringify(body))
    }
  })
}

function serveCompletion (model: EngineModel, form: ChunkFormat) {
  return (request: FastifyRequest, reply: FastifyReply): void => {
    const generation = readGeneration(request)
    const sink = SocketSink.create(reply, text => form(generation.requestId, generation.model, text))
    reply.hijack()
    model.submit(generation, sink).caseOf({
      Left: failure => sendFailure(reply, failure),
      Right: streamId => reply.raw.on('close', () => {
        if (!reply.raw.writableFinished) {
          model.detach(streamId, sink)
        }
      })
    })
  }
}

function serveStreams (server: FastifyInstance, model: EngineModel): void {
  server.post(EnginePath.Completions, serveCompletion(model, textChunk))
  server.post(EnginePath.ChatCompletions, serveCompletion(model, chatChunk))
  server.get<{ Params: { id: string }, Querystring: ResumeQuery }>(`${EnginePath.Streams}/:id`, (request, reply) => {
    const form = request.query.form === EnginePath.ChatCompletions ? chatChunk : textChunk
    const sink = SocketSink.create(reply, text => form(request.query.request ?? '', request.query.model ?? '', text))
    reply.hijack()
    model.resume(request.params.id, Number(request.query.after ?? 0), sink).ifLeft(failure => sendFailure(reply, failure))
  })
  server.post<{ Params: { id: string } }>(`${EnginePath.Cancel}/:id`, (request, reply) => {
    model.cancel(request.params.id)
    reply.send({})
  })
}

function serveState (server: FastifyInstance, model: EngineModel): void {
  server.get(EnginePath.Load, async () => model.load())
  server.get(EnginePath.State, async () => model.state())
  server.get<{ Querystring: { after?: string } }>(EnginePath.Events, async request => model.readEvents(Number(request.query.after ?? 0)))
}

function serveOrders (server: FastifyInstance, model: EngineModel): void {
  server.post(EnginePath.Orders, (request, reply) => {
    const call = {
      order: request.body as EngineOrder,
      fence: Number(header(request, EngineHeader.Fence) || 0),
      caller: header(request, EngineHeader.Caller)
    }
    sendResult(reply, model.give(call).map(() => model.state()))
  })
  server.post(EnginePath.CacheExport, async (request, reply) => {
    const exported = await model.exportCache(request.body as CacheExport)
    sendResult(reply, exported.map(tokens => ({ tokens })))
  })
  server.post(EnginePath.CacheImport, async (request, reply) => {
    const imported = await model.importCache(request.body as CacheImport)
    sendResult(reply, imported.map(tokens => ({ tokens })))
  })
}

function serveFaults (server: FastifyInstance, model: EngineModel): void {
  server.post(FAULTS_PATH, async (request) => {
    const { crash, leave, ...faults } = request.body as FaultsBody
    model.setFaults(faults)
    if (leave === true) {
      model.leave()
    }
    if (crash === true) {
      model.crash()
    }
    return model.faults
  })
}

export function createEngineServer (model: EngineModel): FastifyInstance {
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  server.addHook('onRequest', async (request) => {
    if (request.url !== FAULTS_PATH) {
      await waitWhileFrozen(model)
    }
  })
  serveStreams(server, model)
  serveState(server, model)
  serveOrders(server, model)
  serveFaults(server, model)
  server.setNotFoundHandler((_, reply) => {
    reply.hijack()
    sendFailure(reply, Failure.create(FailureCode.UnknownRoute, Verdict.NotRun, 'No such call.'))
  })
  closeServerOnCrash(server, model)
  return server
}
