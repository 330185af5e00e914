/**
 * A cheap upstream for measurements: it implements the engine's protocol, computes
 * nothing and writes one token to every open stream at each interval, so that
 * tokens reach the measured process one by one, as from an engine.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { EnginePath, StreamEvent, type LoadReport, type StreamEnd, type StreamStart } from 'foxtaillever-core'

/** Time between tokens of a stream, milliseconds. */
export const TOKEN_INTERVAL_MS = 10

const WEIGHTS = 'v1'
const INCARNATION = 'upstream-1'

interface OpenStream {
  readonly response: ServerResponse
  readonly tokens: number
  sent: number
}

const start: StreamStart = { streamId: 's', incarnation: INCARNATION, weightsVersion: WEIGHTS, promptTokens: 1, cachedTokens: 0 }
const chunk = JSON.stringify({ id: 'c', object: 'chat.completion.chunk', created: 0, model: 'm', choices: [{ index: 0, delta: { role: 'assistant', content: ' token' }, finish_reason: null }] })

function formatStart (): string {
  return `event: ${StreamEvent.Started}\nid: 0\ndata: ${JSON.stringify(start)}\n\n`
}

function formatEnd (tokens: number): string {
  const end: StreamEnd = { finishReason: 'length', promptTokens: 1, cachedTokens: 0, completionTokens: tokens }
  return `event: ${StreamEvent.Finished}\nid: ${tokens + 1}\ndata: ${JSON.stringify(end)}\n\n`
}

/** Reads only what it needs, since long prompts must not slow the upstream. */
function readMaxTokens (body: string): number {
  return Number(/"max_tokens":(\d+)/.exec(body.slice(-200))?.[1] ?? /"max_tokens":(\d+)/.exec(body)?.[1] ?? 1)
}

export class Upstream {
  private readonly streams = new Set<OpenStream>()
  private readonly tokenTimer: NodeJS.Timeout
  readonly server: Server

  private constructor () {
    this.server = createServer((request, response) => this.answer(request, response))
    this.tokenTimer = setInterval(() => this.writeTokens(), TOKEN_INTERVAL_MS)
  }

  static create (): Upstream {
    return new Upstream()
  }

  private answer (request: IncomingMessage, response: ServerResponse): void {
    const parts: Buffer[] = []
    request.on('data', (part: Buffer) => parts.push(part))
    request.on('end', () => {
      const isCompletion = request.url === EnginePath.ChatCompletions
      if (isCompletion) {
        this.open(response, readMaxTokens(Buffer.concat(parts).toString('latin1')))
      } else {
        this.answerState(response)
      }
    })
  }

  private open (response: ServerResponse, tokens: number): void {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write(formatStart())
    const stream = { response, tokens, sent: 0 }
    this.streams.add(stream)
    response.on('close', () => this.streams.delete(stream))
    // The first token is written at once: waiting for the interval would hide the latency that the subject adds.
    setImmediate(() => this.writeToken(stream))
  }

  private answerState (response: ServerResponse): void {
    const report: LoadReport = {
      incarnation: INCARNATION, weightsVersion: WEIGHTS, running: 0, waiting: 0, waitingTokens: 0, cacheTokensUsed: 0, leaving: false, madeAt: Date.now()
    }
    response.writeHead(200, { 'content-type': 'application/json' })
    response.end(JSON.stringify(report))
  }

  private writeTokens (): void {
    this.streams.forEach(stream => this.writeToken(stream))
  }

  private writeToken (stream: OpenStream): void {
    stream.sent += 1
    stream.response.write(`id: ${stream.sent}\ndata: ${chunk}\n\n`)
    if (stream.sent >= stream.tokens) {
      this.streams.delete(stream)
      stream.response.end(formatEnd(stream.tokens))
    }
  }

  close (): void {
    clearInterval(this.tokenTimer)
    this.server.close()
    this.server.closeAllConnections()
  }
}
