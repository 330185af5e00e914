/**
 * One try of an exchange at one backend server. Every word of the server is
 * checked before anyone hears it: an answer must bear the request's id and the
 * server's stamp, and it counts as whole only if its framing says so.
 */
import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { atAfterReading, type Cancellation, type Clock } from 'foxtaillever-core'
import type { AnswerMarks, AnswerWire } from '../model/wire.js'
import { SendNotAllowedError, type ServerCall, type ServerConnections } from '../servers/serverConnections.js'
import { AttemptFailureKind, type AttemptFailure } from './attemptFailure.js'

/** The head of a server's own answer, checked. */
export interface AnswerHead {
  readonly status: number
  readonly marks: AnswerMarks
  /** For the caller, names and values in turn. */
  readonly headers: readonly string[]
  /** Whether the answer itself says where it ends; otherwise it ends with its connection. */
  readonly isFramed: boolean
  /** When it came, milliseconds of Unix time. */
  readonly at: number
}

export interface AttemptListener {
  /** The first byte is about to leave; false holds it back. */
  readonly mayLeave?: () => boolean
  readonly onHead: (head: AnswerHead) => void
  readonly onData: (bytes: Buffer) => void
  /** The answer is whole. */
  readonly onEnd: () => void
  /** The try is over without a whole answer. */
  readonly onFailed: (failure: AttemptFailure) => void
}

export interface AttemptOptions {
  readonly clock: Clock
  readonly wire: AnswerWire
  readonly connections: ServerConnections
  readonly requestId: string
  /** Longest wait for a connection, milliseconds. */
  readonly connectTimeoutMs: number
  readonly call: ServerCall
  /** Not on a connection that has served nothing for so long, milliseconds; any will do without. */
  readonly leastRestedMs?: number
  readonly listener: AttemptListener
}

export class Attempt {
  private readonly request: ClientRequest
  private readonly cancelConnectTimeout: Cancellation
  private response: IncomingMessage | undefined
  private hasLeft = false
  private isOver = false
  /** The end of the connection was not the server's own. */
  private wasReset = false

  private constructor (private readonly options: AttemptOptions) {
    const { connections, call, clock, connectTimeoutMs, leastRestedMs = Infinity } = options
    connections.closeIdleFor(leastRestedMs)
    this.request = connections.send(call, () => this.onLeft())
    this.request.on('response', response => this.onResponse(response))
    this.request.on('error', error => this.onError(error))
    this.cancelConnectTimeout = atAfterReading(clock, clock.now() + connectTimeoutMs, () => this.onConnectTimeout())
  }

  static begin (options: AttemptOptions): Attempt {
    return new Attempt(options)
  }

  /** Whether bytes of the request may have reached the server. */
  get mayHaveArrived (): boolean {
    return this.hasLeft
  }

  /** Whether it went out on a connection that had served other requests before. */
  get isOnKeptConnection (): boolean {
    return this.request.reusedSocket
  }

  /** Ends the try in silence; closing the connection tells the server to stop. */
  cancel (): void {
    this.finish()
    this.request.destroy()
  }

  /** Nothing was heard for too long. */
  giveUp (): void {
    this.fail(this.hasLeft ? AttemptFailureKind.Silent : AttemptFailureKind.Unreachable, 'no answer in time')
  }

  /** What came is not an answer to this request. */
  reject (detail: string): void {
    this.fail(AttemptFailureKind.Malformed, detail)
  }

  /** The caller reads too slowly; the server has to wait. */
  pause (): void {
    this.response?.pause()
  }

  resume (): void {
    this.response?.resume()
  }

  private onLeft (): void {
    if (this.options.listener.mayLeave?.() === false) {
      this.fail(AttemptFailureKind.HeldBack, 'held back before its first byte')
      return
    }
    this.hasLeft = true
    this.cancelConnectTimeout?.()
  }

  private onConnectTimeout (): void {
    if (!this.hasLeft) {
      this.fail(AttemptFailureKind.Unreachable, 'no connection in time')
    }
  }

  private onError (error: Error): void {
    // What comes after a whole answer belongs to no request; its connection is closed, and the answer counts.
    if (this.response?.complete === true) {
      return
    }
    const { code = error.message } = error as NodeJS.ErrnoException
    if (!this.hasLeft) {
      this.fail(error instanceof SendNotAllowedError ? AttemptFailureKind.Closed : AttemptFailureKind.Unreachable, code)
      return
    }
    this.fail(code.startsWith('HPE_') ? AttemptFailureKind.Malformed : AttemptFailureKind.Lost, code)
  }

  private onResponse (response: IncomingMessage): void {
    if (this.isOver) {
      response.destroy()
      return
    }
    const status = response.statusCode ?? 0
    const marks = this.options.wire.readMarks(status, response.headers)
    const failure = this.checkHead(status, marks)
    if (failure) {
      this.refuse(response, failure)
      return
    }
    this.response = response
    if (!isFramed(response)) {
      const { socket } = response
      // Before node:http, which closes the connection at its end.
      socket.prependOnceListener('end', () => { this.wasReset = isDisconnected(socket) })
    }
    response.on('data', bytes => this.onData(bytes))
    response.on('end', () => this.onEnd(response))
    response.on('error', error => this.onError(error))
    response.on('aborted', () => this.fail(AttemptFailureKind.Lost, 'answer cut'))
    const { clock, wire, listener } = this.options
    listener.onHead({ status, marks, headers: wire.passHeaders(response.rawHeaders), isFramed: isFramed(response), at: clock.now() })
  }

  private checkHead (status: number, marks: AnswerMarks): AttemptFailure | undefined {
    const { requestId, wire } = this.options
    if (marks.requestId !== undefined && marks.requestId !== requestId) {
      return { kind: AttemptFailureKind.Foreign, detail: `answer to ${marks.requestId}` }
    }
    if (status === MISDIRECTED) {
      return { kind: AttemptFailureKind.Misdirected, detail: describeMisdirected(marks), serverId: marks.serverId }
    }
    if (marks.isNotRun) {
      return { kind: AttemptFailureKind.Refused, detail: `status ${status}` }
    }
    if (wire.notRunStatuses.has(status)) {
      // Passed on, it would promise the caller what the server did not say.
      return { kind: AttemptFailureKind.Malformed, detail: `status ${status} without a word that it did not run` }
    }
    // Without the stamp nothing proves that the bytes come from the server.
    return marks.isStamped ? undefined : { kind: AttemptFailureKind.Malformed, detail: `status ${status} without a stamp` }
  }

  /** The rest of a refusal is read, so that its connection can be kept; what is not to be trusted is closed. */
  private refuse (response: IncomingMessage, failure: AttemptFailure): void {
    const { kind, detail } = failure
    const isKept = kind === AttemptFailureKind.Refused || kind === AttemptFailureKind.Misdirected
    if (!isKept) {
      this.fail(kind, detail)
      return
    }
    this.finish()
    response.resume()
    this.options.listener.onFailed(failure)
  }

  private onData (bytes: Buffer): void {
    if (!this.isOver) {
      this.options.listener.onData(bytes)
    }
  }

  private onEnd (response: IncomingMessage): void {
    if (this.isOver) {
      return
    }
    if (!response.complete || this.wasReset) {
      this.fail(AttemptFailureKind.Lost, 'answer cut')
      return
    }
    this.finish()
    this.options.listener.onEnd()
  }

  private fail (kind: AttemptFailureKind, detail: string): void {
    if (this.isOver) {
      return
    }
    this.finish()
    this.request.destroy()
    this.options.listener.onFailed({ kind, detail, isOnKeptConnection: this.isOnKeptConnection && this.response === undefined })
  }

  private finish (): void {
    this.isOver = true
    this.cancelConnectTimeout?.()
  }
}

/** Status of a server that is not the expected one. */
const MISDIRECTED = 421

/** These have no body, whatever their headers say. */
const bodiless = new Set([204, 304])

function isFramed ({ headers, statusCode = 0 }: IncomingMessage): boolean {
  return bodiless.has(statusCode) || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Whether the connection is gone in both directions. Where a reset arrives
 * together with the last bytes, libuv reports the end of the stream in its
 * place, so that a cut answer without a length would look whole. The operating
 * system knows no peer of a connection that was reset, but does of one that the
 * peer has ended. Nothing asks for the address before, so it is not yet cached.
 */
function isDisconnected (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

function describeMisdirected ({ serverId, weightsVersion }: AnswerMarks): string {
  return `server ${serverId ?? 'unknown'}, weights ${weightsVersion ?? 'unknown'}`
}
