/** Writes a stream to a socket as server-sent events; a crash closes the socket without a final event. */
import type { FastifyReply } from 'fastify'
import { StreamEvent, type Failure, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import { formatEvent } from './formatEvent.js'
import type { StreamSink } from './generation.js'

/** Formats one token as a chunk of the wire format. */
export type ChunkFormat = (id: string, model: string, text: string) => string

export const textChunk: ChunkFormat = (id, model, text) =>
  JSON.stringify({ id, object: 'text_completion', created: 0, model, choices: [{ index: 0, text, logprobs: null, finish_reason: null }] })

export const chatChunk: ChunkFormat = (id, model, text) =>
  JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model, choices: [{ index: 0, delta: { role: 'assistant', content: text }, finish_reason: null }] })

export class SocketSink implements StreamSink {
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
