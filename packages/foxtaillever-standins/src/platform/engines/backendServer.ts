/**
 * A server of the users' platform on loopback, a model engine or a plain one:
 * checks whom a request is meant for, runs it or says that it did not, and keeps
 * a record of all that arrived.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { waitUntil, type Cancellation, type Clock } from 'foxtaillever-core'
import { readBody } from '../readBody.js'
import { AnswerWriter, headerOf, type Arrival, type StatedAnswer } from './runRequest.js'
import { ServerFault } from './serverFaults.js'

export const HEALTH_PATH = '/health'

/** How a kind of server runs a request; undefined: it takes no more. */
export interface Runner {
  /** Whether the request may begin; else the status of the refusal. */
  readonly admit: (request: IncomingMessage) => number | undefined
  /** Runs the request; false when there is no room. */
  readonly run: (request: IncomingMessage, writer: AnswerWriter, begun: () => void) => boolean
  readonly cancel: (requestId: string) => void
  /** The process ended; nothing is left. */
  readonly reset: () => void
  /** Calls about the server itself, by method and path. */
  readonly calls: Readonly<Record<string, (request: IncomingMessage, body: Buffer) => Promise<{ readonly status: number, readonly body?: object }>>>
}

export interface BackendServerOptions {
  readonly name: string
  readonly clock: Clock
  /** How long a crashed server is away, milliseconds. */
  readonly restartMs: number
  readonly onCrashed: (server: BackendServer) => void
  readonly onStarted: (server: BackendServer) => void
}

export class BackendServer {
  /** Each taken by the next request that would run. */
  readonly faults: ServerFault[] = []
  readonly arrivals: Arrival[] = []
  isLeaving = false
  /** Requests a second that it says it takes from all instances together, as its answers put it. */
  statedLimit: string | undefined
  /** It turns all requests away and asks whoever sent one for so much rest, seconds, as its answers put it. */
  askedRest: string | undefined
  address = ''
  /** Of this start, milliseconds of Unix time. */
  startedAt: number
  private names = 1
  private readonly server: Server
  private isClosed = false
  private isRestarting = false
  private cancelRestart: Cancellation = () => {}

  private constructor (readonly options: BackendServerOptions, private readonly runner: Runner) {
    this.startedAt = Math.floor(options.clock.now())
    this.server = createServer((request, response) => {
      this.take(request, response).catch((error: Error) => response.destroy(error))
    })
  }

  static create (options: BackendServerOptions, runner: Runner): BackendServer {
    return new BackendServer(options, runner)
  }

  /** Another one after most starts. */
  get id (): string {
    return `${this.options.name}-${this.names}`
  }

  /** How often a request began to run here. */
  runsOf (requestId: string): number {
    return this.arrivals.filter(arrival => arrival.hasRun && arrival.requestId === requestId).length
  }

  async listen (host = '127.0.0.1'): Promise<void> {
    await new Promise<void>(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${(this.server.address() as AddressInfo).port}`
    this.options.onStarted(this)
  }

  /** Ends at once, and starts again at the same address, under another id or the one that it had. */
  crash (keepsId = false): void {
    // A request that was on its way when the server ended may still crash it; that must not open it again, or twice.
    if (this.isClosed || this.isRestarting) {
      return
    }
    const { clock, restartMs, onCrashed, onStarted } = this.options
    const [host = '', port] = this.address.split(':')
    onCrashed(this)
    this.runner.reset()
    this.statedLimit = undefined
    this.askedRest = undefined
    this.end()
    this.names += keepsId ? 0 : 1
    this.isRestarting = true
    this.cancelRestart = clock.at(clock.now() + restartMs, () => {
      this.startedAt = Math.floor(clock.now())
      this.server.listen(Number(port), host, () => {
        this.isRestarting = false
        onStarted(this)
      })
    })
  }

  close (): void {
    this.isClosed = true
    this.cancelRestart()
    this.end()
  }

  private end (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private async take (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { method = '', url = '' } = request
    const body = await readBody(request)
    const call = this.runner.calls[`${method} ${url.split('?')[0]}`]
    const expected = headerOf(request, 'x-expect-instance')
    if (expected !== '' && expected !== this.id) {
      this.note(request, body)
      response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Not-Executed': 1 }).end()
    } else if (url === HEALTH_PATH) {
      response.writeHead(this.isLeaving ? 503 : 200, { 'X-Instance-Id': this.id, ...this.statements() }).end()
    } else if (call) {
      const answer = await call(request, body)
      response.writeHead(answer.status, { 'Content-Type': 'application/json', ...this.statements() }).end(answer.body && JSON.stringify({ ...answer.body, born: this.startedAt }))
    } else {
      this.run(request, response, this.note(request, body))
    }
  }

  /** What it says of itself in every answer. */
  private statements (): Readonly<Record<string, string>> {
    return {
      ...(this.statedLimit === undefined ? {} : { 'Server-Limit': this.statedLimit }),
      ...(this.isLeaving ? { 'Server-Leaving': '1' } : {})
    }
  }

  private note (request: IncomingMessage, body: Buffer): Arrival {
    const { method = '', url = '', headers } = request
    const arrival: Arrival = { requestId: headerOf(request, 'x-request-id'), method, path: url, headers, body: body.toString(), at: this.options.clock.now(), startedAt: this.startedAt, statedLimit: this.statedLimit, answer: undefined, hasRun: false }
    this.arrivals.push(arrival)
    return arrival
  }

  private answerNow (restMs: number): StatedAnswer {
    return { at: this.options.clock.now(), isLeaving: this.isLeaving, restMs }
  }

  private run (request: IncomingMessage, response: ServerResponse, arrival: Arrival): void {
    const { requestId } = arrival
    const refuse = (status: number, headers: Readonly<Record<string, string>> = {}): void => {
      response.writeHead(status, { 'X-Request-Id': requestId, 'X-Instance-Id': this.id, 'X-Not-Executed': 1, ...this.statements(), ...headers }).end()
    }
    if (this.askedRest !== undefined) {
      arrival.answer = this.answerNow(Number(this.askedRest) * 1000)
      refuse(503, { 'Retry-After': this.askedRest })
      return
    }
    const status = requestId === '' ? 400 : this.runner.admit(request)
    if (status !== undefined) {
      refuse(status)
      return
    }
    const fault = this.faults.shift()
    if (fault === ServerFault.Silent) {
      return
    }
    const writer = AnswerWriter.create(response, {
      requestId,
      fault,
      crash: () => this.crash(),
      statements: () => {
        arrival.answer = this.answerNow(0)
        return this.statements()
      }
    })
    response.on('close', () => this.runner.cancel(requestId))
    if (!this.runner.run(request, writer, () => { arrival.hasRun = true })) {
      refuse(503)
    }
  }
}

/** A plain server: works on each request for a while and answers with a body of its own. */
export function createPlainRunner (clock: Clock, workMs: number): Runner {
  return {
    admit: () => undefined,
    run: (request, writer, begun) => {
      begun()
      const body = Buffer.from(`done ${headerOf(request, 'x-request-id')} ${'.'.repeat(200)}`)
      waitUntil(clock, clock.now() + workMs).then(() => {
        if (writer.begin(200, { 'Content-Length': body.length })) {
          writer.end(body)
        }
      }, () => {})
      return true
    },
    cancel: () => {},
    reset: () => {},
    calls: {}
  }
}
