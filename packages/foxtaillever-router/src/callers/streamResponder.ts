/**
 * Streams an answer to a caller as server-sent events. The id of each event is
 * the token's sequence number, so that a caller can detect missing tokens; a
 * stream without its closing event is incomplete.
 */
import type { ServerResponse } from 'node:http'
import { CallerHeader, type Clock, type Failure, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import type { Responder, StreamPosition, Submission } from '../core/request.js'
import { chunkForms, usageOf } from './chunkForm.js'
import { failureBody } from './failureBody.js'
import type { StreamTokens } from './streamToken.js'
import { writeFailure } from './writeFailure.js'

export interface ResponderOptions {
  readonly response: ServerResponse
  readonly submission: Submission
  readonly clock: Clock
  readonly includeUsage: boolean
  readonly tokens: StreamTokens
}

export class StreamResponder implements Responder {
  private constructor (private readonly options: ResponderOptions) {}

  static create (options: ResponderOptions): StreamResponder {
    return new StreamResponder(options)
  }

  started (start: StreamStart, position: StreamPosition): void {
    this.options.response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-cache',
      [CallerHeader.RequestId]: this.options.submission.job.id,
      [CallerHeader.StreamToken]: this.tokenOf(position),
      'x-cached-tokens': String(start.cachedTokens)
    })
    this.options.response.flushHeaders()
  }

  /** Sends the new token as a comment, which clients that do not know stream tokens ignore. */
  moved (position: StreamPosition): void {
    this.options.response.write(`: ${CallerHeader.StreamToken} ${this.tokenOf(position)}\n\n`)
  }

  private tokenOf (position: StreamPosition): string {
    const { tokens, submission } = this.options
    const { account, model } = submission.job
    return tokens.issue({ account, model, path: submission.path, position })
  }

  token (sequence: number, data: string): boolean {
    return this.options.response.write(`id: ${sequence}\ndata: ${data}\n\n`)
  }

  finished (end: StreamEnd): void {
    const { response, submission, includeUsage } = this.options
    const { id, model } = submission.job
    const last = JSON.stringify(chunkForms[submission.path].lastChunk(id, model, end))
    const usage = includeUsage ? `data: ${JSON.stringify({ id, object: 'chat.completion.chunk', created: 0, model, choices: [], usage: usageOf(end) })}\n\n` : ''
    response.end(`id: ${end.completionTokens + 1}\ndata: ${last}\n\n${usage}data: [DONE]\n\n`)
  }

  failed (failure: Failure): void {
    sendFailure(this.options, failure)
  }
}

/** Sends a failure as a status before the headers were sent, and as an event that ends the stream after that. */
export function sendFailure ({ response, submission, clock }: ResponderOptions, failure: Failure): void {
  const { id } = submission.job
  if (response.headersSent) {
    response.end(`event: error\ndata: ${JSON.stringify(failureBody(failure, id))}\n\n`)
    return
  }
  writeFailure(response, failure, id, clock)
}
