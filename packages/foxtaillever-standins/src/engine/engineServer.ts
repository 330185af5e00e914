/**
 * Puts the engine model on a socket: completions over server-sent events,
 * resume, cancel and load.
 */
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import {
  EngineHeader, EnginePath, Failure, FailureCode, renderMessages, StreamEvent, Verdict,
  type ChatMessage, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { formatEvent } from './formatEvent.js'
import type { EngineModel, Generation, StreamSink } from './engineModel.js'

const BODY_LIMIT_BYTES = 16 * 1024 * 1024

interface CompletionBody {
  readonly model: string
  readonly prompt?: string
  readonly messages?: readonly ChatMessage[]
  readonly max_tokens?: number
}

const DEFAULT_MAX_TOKENS = 16

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
    expectedWeights: header(request, EngineHeader.ExpectedWeights)
  }
}

type ChunkForm = (id: string, model: string, text: string) => string

const textChunk: ChunkForm = (id, model, text) =>
  JSON.stringify({ id, object: 'text_completion', created: 0, model, choices: [{ index: 0, text, logprobs: null, finish_reason: null }] })

const chatChunk: ChunkForm = (id, model, text) =>
  JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model, choices: [{ index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }] })

/** Writes a stream to a socket; a crash cuts the socket without a last word. */
class SocketSink implements StreamSink {
  private constructor (private readonly reply: FastifyReply, private readonly chunk: (text: string) => string) {}

  static create (reply: FastifyReply, chunk: (text: string) => string): SocketSink {
    return new SocketSink(reply, chunk)
  }

  started (start: StreamStart): void {
    this.reply.raw.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' })
    this.reply.raw.write(formatEvent(0, JSON.stringify(start), StreamEvent.Started))
  }

  token (sequence: number, text: string): void {
    this.reply.raw.write(formatEvent(sequence, this.chunk(text)))
  }

  finished (sequence: number, end: StreamEnd): void {
    this.reply.raw.end(formatEvent(sequence, JSON.stringify(end), StreamEvent.Finished))
  }

  failed (_failure: Failure): void {
    this.reply.raw.destroy()
  }
}

function refuse (reply: FastifyReply, failure: Failure): void {
  reply.code(failure.code === FailureCode.Stale ? 409 : 503)
    .header(EngineHeader.Verdict, failure.verdict)
    .send({ error: { code: failure.code, message: failure.message, verdict: failure.verdict } })
}

function stream (model: EngineModel, form: ChunkForm) {
  return (request: FastifyRequest, reply: FastifyReply): void => {
    const generation = readGeneration(request)
    const sink = SocketSink.create(reply, text => form(generation.requestId, generation.model, text))
    reply.hijack()
    model.submit(generation, sink).caseOf({
      Left: failure => sendRefusal(reply, failure),
      Right: streamId => reply.raw.on('close', () => {
        if (!reply.raw.writableFinished) {
          model.detach(streamId, sink)
        }
      })
    })
  }
}

/** After hijack the reply is written by hand. */
function sendRefusal (reply: FastifyReply, failure: Failure): void {
  const status = failure.code === FailureCode.Stale ? 409 : 503
  reply.raw.writeHead(status, { 'content-type': 'application/json', [EngineHeader.Verdict]: failure.verdict })
  reply.raw.end(JSON.stringify({ error: { code: failure.code, message: failure.message, verdict: failure.verdict } }))
}

export function createEngineServer (model: EngineModel): FastifyInstance {
  const server = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true })
  server.post(EnginePath.Completions, stream(model, textChunk))
  server.post(EnginePath.ChatCompletions, stream(model, chatChunk))
  server.get<{ Params: { id: string }, Querystring: { after?: string, form?: string, request?: string, model?: string } }>(`${EnginePath.Streams}/:id`, (request, reply) => {
    const form = request.query.form === EnginePath.ChatCompletions ? chatChunk : textChunk
    const sink = SocketSink.create(reply, text => form(request.query.request ?? '', request.query.model ?? '', text))
    reply.hijack()
    model.resume(request.params.id, Number(request.query.after ?? 0), sink).ifLeft(failure => sendRefusal(reply, failure))
  })
  server.post<{ Params: { id: string } }>(`${EnginePath.Cancel}/:id`, (request, reply) => {
    model.cancel(request.params.id)
    reply.send({})
  })
  server.get(EnginePath.Load, (_, reply) => { reply.send(model.load()) })
  server.setNotFoundHandler((_, reply) => refuse(reply, Failure.create(FailureCode.UnknownRoute, Verdict.NotRun, 'No such call.')))
  return server
}
