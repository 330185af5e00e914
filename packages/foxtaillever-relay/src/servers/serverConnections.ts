/**
 * Connections to one backend server, kept between requests.
 *
 * Uses node:http rather than undici: when a connection is reset, undici treats an
 * unframed or chunked answer that was announced as the connection's last as complete,
 * so a truncated answer would be passed on as a complete one.
 */
import { Agent, request, type AgentOptions, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { ConnectionShare } from 'foxtaillever-policy/relay/connectionShare'
import { boundInformationalHeads, type BodyExcess } from './byteBounds.js'
import { onFinalAnswer, rejectMalformedHead } from './finalAnswer.js'

/** An idle connection is closed after this unless the server states another time, milliseconds. */
const IDLE_TIMEOUT_MS = 4000

/** Idle connections are closed this long before the server closes them, so that no request is sent while it closes, milliseconds. */
const IDLE_MARGIN_MS = 1000

/** Idle time before the first probe, which detects a peer that went silent without closing the connection, milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1000

const KEEP_ALIVE_HINT = /timeout=(\d+)/

/** The last answer on a socket, as node:http keeps it. */
interface SocketWithAnswer extends Socket {
  _httpMessage?: { res?: IncomingMessage | null } | null
}

/**
 * Closes an idle connection as soon as unexpected data arrives on it. A server may send
 * a second answer after a complete one, which would be taken for the answer to the
 * next request.
 */
class ServerAgent extends Agent {
  private readonly idleListeners = new WeakMap<Duplex, () => void>()
  private readonly idleSince = new WeakMap<Duplex, number>()

  constructor (options: AgentOptions, private readonly now: () => number, private readonly onIdleReset: () => void) {
    super(options)
  }

  /** Closes connections that have been idle for at least this long, milliseconds. */
  closeIdleFor (idleMs: number): void {
    const until = this.now() - idleMs
    Object.values(this.freeSockets).flat().forEach(socket => {
      if (socket && (this.idleSince.get(socket) ?? 0) <= until) {
        socket.destroy()
      }
    })
  }

  /** Closes connections that were idle already at that time, and have been since. */
  closeIdleUntil (at: number): void {
    this.closeIdleFor(this.now() - at)
  }

  /** Whether a connection became idle after that time. */
  hasIdleSince (at: number): boolean {
    return Object.values(this.freeSockets).flat().some(socket => socket !== undefined && !socket.destroyed && (this.idleSince.get(socket) ?? 0) > at)
  }

  override keepSocketAlive (duplex: Duplex): boolean {
    const socket = duplex as SocketWithAnswer
    const hint = KEEP_ALIVE_HINT.exec(String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''))?.[1]
    const idleMs = hint === undefined ? IDLE_TIMEOUT_MS : Number(hint) * 1000 - IDLE_MARGIN_MS
    if (idleMs <= 0 || socket.readableLength > 0 || socket.readableEnded) {
      return false
    }
    const destroy = (): void => { socket.destroy() }
    this.idleSince.set(socket, this.now())
    this.idleListeners.set(socket, destroy)
    socket.on('data', destroy)
    socket.on('end', destroy)
    socket.on('error', this.onIdleReset)
    socket.setTimeout(idleMs, destroy)
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS)
    return true
  }

  override reuseSocket (duplex: Duplex, message: ClientRequest): void {
    const socket = duplex as Socket
    const destroy = this.idleListeners.get(socket)
    if (destroy) {
      socket.off('data', destroy)
      socket.off('end', destroy)
      socket.off('error', this.onIdleReset)
      socket.off('timeout', destroy)
      socket.setTimeout(0)
    }
    super.reuseSocket(duplex, message)
  }
}

export interface ServerCall {
  readonly method: string
  readonly path: string
  /** Names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer
}

/** This instance must not send to the server now; no byte has been sent. */
export class SendNotAllowedError extends Error {}

/** Receives the status and headers of every answer of the server, before the sender of the request does. */
export type AnswerListener = (status: number, headers: IncomingHttpHeaders, sentAt: number) => void

export interface ServerConnectionsOptions {
  /** IP address and port. */
  readonly address: string
  readonly part: ConnectionShare
  /** Milliseconds of a monotonic clock. */
  readonly now?: (() => number) | undefined
  /** Checked right before the first byte of a request is sent. */
  readonly maySend?: () => boolean
  readonly onAnswer?: AnswerListener
  /** An idle connection was reset, which a server that closes idle ones in good order does not do. */
  readonly onIdleReset?: () => void
  /** A body exceeded its bound, and its connection was closed. */
  readonly onExcess?: (excess: BodyExcess) => void
  /** IP address from which connections are opened; the system chooses one if not given. */
  readonly localHost?: string | undefined
}

/** Sends requests to one server, over connections that are kept between requests. */
export interface ServerChannel {
  /**
   * Begins a request and sends its body.
   * @param onBeforeSend called right before the first byte may be sent: from then on the request may have run.
   */
  readonly send: (call: ServerCall, onBeforeSend: () => void) => ClientRequest
  /** Closes connections that have been idle for at least this long, milliseconds. */
  readonly closeIdleFor: (idleMs: number) => void
  /** Records that a body exceeded its bound, and that its connection was closed. */
  readonly recordExcess: (excess: BodyExcess) => void
}

export class ServerConnections implements ServerChannel {
  private readonly agent: ServerAgent
  private readonly host: string
  private readonly port: number
  private readonly now: () => number
  private readonly maySend: () => boolean
  private readonly onAnswer: AnswerListener
  private readonly localHost: string | undefined
  readonly recordExcess: (excess: BodyExcess) => void

  private constructor ({ address, part, now = () => performance.now(), maySend = () => true, onAnswer = () => {}, onIdleReset = () => {}, onExcess = () => {}, localHost }: ServerConnectionsOptions) {
    this.now = now
    this.localHost = localHost
    this.recordExcess = onExcess
    this.maySend = maySend
    this.onAnswer = onAnswer
    const colon = address.lastIndexOf(':')
    this.host = address.slice(0, colon)
    this.port = Number(address.slice(colon + 1))
    this.agent = new ServerAgent({ keepAlive: true, scheduling: 'lifo' }, now, onIdleReset)
    this.setLimits(part)
  }

  static create (options: ServerConnectionsOptions): ServerConnections {
    return new ServerConnections(options)
  }

  /**
   * Begins a request and sends its body.
   * @param onBeforeSend called right before the first byte may be sent: from then on the request may have run.
   */
  send ({ method, path, headers, body }: ServerCall, onBeforeSend: () => void): ClientRequest {
    const { host, port, agent, localHost } = this
    const call = request({ host, port, agent, ...(localHost === undefined ? {} : { localAddress: localHost }), method, path, headers: headers as unknown as Record<string, string>, setHost: false })
    const sentAt = this.now()
    boundInformationalHeads(call)
    rejectMalformedHead(call)
    onFinalAnswer(call, ({ statusCode = 0, headers }) => this.onAnswer(statusCode, headers, sentAt))
    const startSending = (): void => {
      if (this.maySend()) {
        onBeforeSend()
      } else {
        call.destroy(new SendNotAllowedError(`The server at ${host}:${port} accepts no requests now.`))
      }
    }
    call.on('socket', socket => {
      if (!socket.connecting) {
        startSending()
        return
      }
      socket.once('connect', startSending)
    })
    call.end(body.length > 0 ? body : undefined)
    return call
  }

  /** Sets this instance's share of the server's connections, which changes with the number of instances. */
  setLimits ({ total, idle }: ConnectionShare): void {
    this.agent.maxSockets = total
    this.agent.maxFreeSockets = idle
  }

  /** Closes idle connections; busy ones remain open until their request ends. */
  closeIdle (): void {
    this.closeIdleFor(0)
  }

  /** Closes connections that have been idle for at least this long, milliseconds. */
  closeIdleFor (idleMs: number): void {
    this.agent.closeIdleFor(idleMs)
  }

  /** Closes connections that were idle already at that time, milliseconds of Unix time. */
  closeIdleUntil (at: number): void {
    this.agent.closeIdleUntil(at)
  }

  /** Whether an answer ended on an idle connection after that time, milliseconds of Unix time. */
  hasIdleSince (at: number): boolean {
    return this.agent.hasIdleSince(at)
  }

  /** Keeps no more idle connections; requests in flight finish normally. */
  close (): void {
    this.agent.maxFreeSockets = 0
    this.closeIdle()
  }
}
