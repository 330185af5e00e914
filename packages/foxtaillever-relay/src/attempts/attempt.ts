/**
 * One attempt of an exchange at one backend server. Every answer is checked
 * before the listener receives it: it must carry the request's id and the
 * server's stamp, and it counts as complete only if its framing says so.
 */
import type { ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { atAfterReading, type Cancellation, type Clock } from 'foxtaillever-core'
import { StepGuard } from './stepGuard.js'
import type { AnswerMarks, AnswerWire } from '../model/wire.js'
import { drainBody, EndlessHeadsError } from '../servers/byteBounds.js'
import { MalformedHeadError, onFinalAnswer } from '../servers/finalAnswer.js'
import { SendNotAllowedError, type ServerCall, type ServerChannel } from '../servers/serverConnections.js'
import { AttemptFailureKind, type AttemptFailure } from './attemptFailure.js'

/** The checked head of an answer that comes from the server itself. */
export interface AnswerHead {
  readonly status: number
  readonly marks: AnswerMarks
  /** Headers for the caller, alternating names and values. */
  readonly headers: readonly string[]
  /** When the head arrived, milliseconds of Unix time. */
  readonly at: number
}

export interface AttemptListener {
  /** Called before the first byte is sent; returning false holds the request back. */
  readonly maySend?: () => boolean
  readonly onHead: (head: AnswerHead) => void
  readonly onData: (bytes: Buffer) => void
  /** The answer is complete. */
  readonly onEnd: () => void
  /** The attempt ended without a complete answer. */
  readonly onFailed: (failure: AttemptFailure) => void
  /** A step of the attempt, or one of these functions, threw. The attempt is cancelled; nothing else is called. */
  readonly onError: (error: unknown) => void
}

export interface AttemptOptions {
  readonly clock: Clock
  readonly wire: AnswerWire
  readonly connections: ServerChannel
  /** Reads the failure that an answer reports instead of being the server's; without it every answer is the server's. */
  readonly readFailure?: ((headers: IncomingHttpHeaders) => AttemptFailure | undefined) | undefined
  readonly requestId: string
  /** Longest wait for a connection, milliseconds. */
  readonly connectTimeoutMs: number
  readonly call: ServerCall
  /** Connections that have been idle for longer are not used, milliseconds; without it any connection is. */
  readonly maxIdleMs?: number
  readonly listener: AttemptListener
}

export class Attempt {
  private readonly request: ClientRequest
  private readonly cancelConnectTimeout: Cancellation
  private response: IncomingMessage | undefined
  /** When the first byte was sent, milliseconds of Unix time; undefined before. */
  private sentAt: number | undefined
  private isOver = false
  /** Whether a reset, rather than the server, ended the connection. */
  private wasReset = false
  private readonly steps = StepGuard.create(error => {
    this.cancel()
    this.options.listener.onError(error)
  })

  private constructor (private readonly options: AttemptOptions) {
    const { connections, call, clock, connectTimeoutMs, maxIdleMs = Infinity } = options
    connections.closeIdleFor(maxIdleMs)
    const { steps } = this
    this.request = connections.send(call, steps.wrap(() => this.onFirstByte()))
    onFinalAnswer(this.request, steps.wrap(response => this.onResponse(response)))
    this.request.on('error', steps.wrap(error => this.onError(error)))
    this.cancelConnectTimeout = atAfterReading(clock, clock.now() + connectTimeoutMs, steps.wrap(() => this.onConnectTimeout()))
  }

  static begin (options: AttemptOptions): Attempt {
    return new Attempt(options)
  }

  /** Whether bytes of the request may have reached the server. */
  get mayHaveArrived (): boolean {
    return this.hasSent
  }

  private get hasSent (): boolean {
    return this.sentAt !== undefined
  }

  /** Whether the request was sent on a connection that had served other requests before. */
  get isOnReusedConnection (): boolean {
    return this.request.reusedSocket
  }

  /** Ends the attempt without calling the listener; closing the connection makes the server stop. */
  cancel (): void {
    this.finish()
    this.request.destroy()
  }

  /** Fails the attempt because nothing was received for too long. */
  timeOut (): void {
    this.fail(this.hasSent ? AttemptFailureKind.Silent : AttemptFailureKind.Unreachable, 'no answer in time')
  }

  /** Fails the attempt, which is to be sent again with another cache salt. */
  withdraw (): void {
    this.fail(this.hasSent ? AttemptFailureKind.Withdrawn : AttemptFailureKind.HeldBack, 'the isolated accounts have changed')
  }

  /** Fails the attempt because the answer is malformed. */
  reject (detail: string): void {
    this.fail(AttemptFailureKind.Malformed, detail)
  }

  /** Stops reading from the server because the caller reads too slowly. */
  pause (): void {
    this.response?.pause()
  }

  resume (): void {
    this.response?.resume()
  }

  private onFirstByte (): void {
    if (this.options.listener.maySend?.() === false) {
      this.fail(AttemptFailureKind.HeldBack, 'held back before its first byte')
      return
    }
    this.sentAt = this.options.clock.now()
    this.cancelConnectTimeout?.()
  }

  private onConnectTimeout (): void {
    if (!this.hasSent) {
      this.fail(AttemptFailureKind.Unreachable, 'no connection in time')
    }
  }

  private onError (error: Error): void {
    // Bytes after a complete answer belong to no request. The connection is closed, and the answer counts.
    if (this.response?.complete === true) {
      return
    }
    const { code = error.message } = error as NodeJS.ErrnoException
    if (!this.hasSent) {
      this.fail(error instanceof SendNotAllowedError ? AttemptFailureKind.Closed : AttemptFailureKind.Unreachable, code)
      return
    }
    const isMalformed = code.startsWith('HPE_') || error instanceof EndlessHeadsError || error instanceof MalformedHeadError
    this.fail(isMalformed ? AttemptFailureKind.Malformed : AttemptFailureKind.Lost, code)
  }

  private onResponse (response: IncomingMessage): void {
    if (this.isOver) {
      response.destroy()
      return
    }
    const reported = this.options.readFailure?.(response.headers)
    if (reported) {
      this.failAfterReading(response, reported)
      return
    }
    const status = response.statusCode ?? 0
    const marks = this.options.wire.readMarks(status, response.headers)
    const failure = this.checkHead(status, marks)
    if (failure) {
      this.rejectResponse(response, failure)
      return
    }
    this.response = response
    if (!isFramed(response)) {
      const { socket } = response
      // Prepended, because the listener of node:http closes the connection at its end.
      socket.prependOnceListener('end', () => { this.wasReset = isDisconnected(socket) })
    }
    const { steps } = this
    response.on('data', steps.wrap(bytes => this.onData(bytes)))
    response.on('end', steps.wrap(() => this.onEnd(response)))
    response.on('error', steps.wrap(error => this.onError(error)))
    response.on('aborted', steps.wrap(() => this.fail(AttemptFailureKind.Lost, 'answer cut')))
    const { clock, wire, listener } = this.options
    listener.onHead({ status, marks, headers: wire.passHeaders(response.rawHeaders), at: clock.now() })
  }

  private checkHead (status: number, marks: AnswerMarks): AttemptFailure | undefined {
    const { requestId, wire } = this.options
    if (marks.requestId !== undefined && marks.requestId !== requestId) {
      return { kind: AttemptFailureKind.Foreign, detail: `answer to request ${marks.requestId}` }
    }
    if (status === MISDIRECTED) {
      return { kind: AttemptFailureKind.Misdirected, detail: describeMisdirected(marks), serverId: marks.serverId }
    }
    if (marks.isNotRun) {
      return { kind: AttemptFailureKind.Refused, detail: `status ${status}` }
    }
    if (wire.notRunStatuses.has(status)) {
      // If forwarded, this status would promise the caller that the request did not run, which the server did not state.
      return { kind: AttemptFailureKind.Malformed, detail: `status ${status} without a statement that the request did not run` }
    }
    // Without the stamp nothing proves that the answer comes from the server.
    return marks.isStamped ? undefined : { kind: AttemptFailureKind.Malformed, detail: `status ${status} without a stamp` }
  }

  /** Reads a refusal to its end if it is short, so that its connection can be reused; the connection of an untrusted answer is closed. */
  private rejectResponse (response: IncomingMessage, failure: AttemptFailure): void {
    const { kind, detail } = failure
    const isKept = kind === AttemptFailureKind.Refused || kind === AttemptFailureKind.Misdirected
    if (!isKept) {
      this.fail(kind, detail)
      return
    }
    this.failAfterReading(response, failure)
  }

  private failAfterReading (response: IncomingMessage, failure: AttemptFailure): void {
    const { clock, connections, listener } = this.options
    this.finish()
    drainBody(response, { clock, maxBytes: REFUSAL_BODY_BYTES, deadline: clock.now() + REFUSAL_BODY_MS }, excess => connections.recordExcess(excess))
    listener.onFailed(failure)
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
    const sentForMs = this.sentAt === undefined || this.response ? undefined : this.options.clock.now() - this.sentAt
    this.options.listener.onFailed({ kind, detail, isOnReusedConnection: this.isOnReusedConnection && this.response === undefined, ...(sentForMs === undefined ? {} : { sentForMs }) })
  }

  private finish (): void {
    this.isOver = true
    this.cancelConnectTimeout?.()
  }
}

/** The body of a refusal is read up to this size, bytes. Ordinary ones have some hundred bytes, and a new connection costs less than 16 KB do. */
const REFUSAL_BODY_BYTES = 16 * 1024

/** The body of a refusal is read for this long, milliseconds: a second packet may be held back for 40 ms by a delayed acknowledgement. */
const REFUSAL_BODY_MS = 80

/** Status of a server that is not the expected one, or has other weights. */
const MISDIRECTED = 421

/** Statuses whose answers have no body, whatever their headers say. */
const bodilessStatuses = new Set([204, 304])

function isFramed ({ headers, statusCode = 0 }: IncomingMessage): boolean {
  return bodilessStatuses.has(statusCode) || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/**
 * Whether the connection is closed in both directions. Where a reset arrives
 * together with the last bytes, libuv reports the end of the stream instead, so
 * a truncated answer without a length would look complete. The operating system
 * has no peer address for a connection that was reset, but still has one after
 * the peer ended it. The address is not read earlier, so it is not yet cached.
 */
function isDisconnected (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

function describeMisdirected ({ serverId, weightsVersion }: AnswerMarks): string {
  return `server ${serverId ?? 'unknown'}, weights ${weightsVersion ?? 'unknown'}`
}
