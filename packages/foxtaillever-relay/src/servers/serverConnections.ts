/**
 * Connections to one backend server, kept between requests.
 *
 * By node:http rather than undici: undici takes an unframed or chunked answer
 * that was announced as the connection's last for complete when the connection
 * is reset, so a cut answer would be passed on as a whole one.
 */
import { Agent, request, type AgentOptions, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { ConnectionShare } from 'foxtaillever-policy/relay/connectionShare'

/** An idle connection is closed after this unless the server says otherwise, milliseconds. */
const IDLE_TIMEOUT_MS = 4000

/** Idle connections end this long before the server closes them, so that no request crosses its close, milliseconds. */
const IDLE_MARGIN_MS = 1000

/** First probe of an idle connection, which shows a peer that went silent without closing, milliseconds. */
const KEEP_ALIVE_PROBE_MS = 1000

const KEEP_ALIVE_HINT = /timeout=(\d+)/

/** What node:http keeps of the last answer on a socket. */
interface SocketOfAnswer extends Socket {
  _httpMessage?: { res?: IncomingMessage | null } | null
}

/**
 * Keeps a connection only while nothing unexpected comes on it. A server may
 * send a second answer after a complete one; read by the next request, it would
 * be taken for that request's.
 */
class ServerAgent extends Agent {
  private readonly unasked = new WeakMap<Duplex, () => void>()
  private readonly restingSince = new WeakMap<Duplex, number>()

  constructor (options: AgentOptions, private readonly now: () => number) {
    super(options)
  }

  /** Closes idle connections that have served nothing for so long, milliseconds. */
  closeRested (restedMs: number): void {
    const until = this.now() - restedMs
    Object.values(this.freeSockets).flat().forEach(socket => {
      if (socket && (this.restingSince.get(socket) ?? 0) <= until) {
        socket.destroy()
      }
    })
  }

  override keepSocketAlive (duplex: Duplex): boolean {
    const socket = duplex as SocketOfAnswer
    const hint = KEEP_ALIVE_HINT.exec(String(socket._httpMessage?.res?.headers['keep-alive'] ?? ''))?.[1]
    const idleMs = hint === undefined ? IDLE_TIMEOUT_MS : Number(hint) * 1000 - IDLE_MARGIN_MS
    if (idleMs <= 0 || socket.readableLength > 0 || socket.readableEnded) {
      return false
    }
    const destroy = (): void => { socket.destroy() }
    this.restingSince.set(socket, this.now())
    this.unasked.set(socket, destroy)
    socket.on('data', destroy)
    socket.on('end', destroy)
    socket.setTimeout(idleMs, destroy)
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_MS)
    return true
  }

  override reuseSocket (duplex: Duplex, message: ClientRequest): void {
    const socket = duplex as Socket
    const destroy = this.unasked.get(socket)
    if (destroy) {
      socket.off('data', destroy)
      socket.off('end', destroy)
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

/** The server takes nothing from this instance now; no byte has left. */
export class ClosedServerError extends Error {}

/** Hears the head of every answer of the server, before whoever sent the request. */
export type AnswerListener = (status: number, headers: IncomingHttpHeaders, sentAt: number) => void

export interface ServerConnectionsOptions {
  /** IP number and port. */
  readonly address: string
  readonly part: ConnectionShare
  /** Steady milliseconds. */
  readonly now?: (() => number) | undefined
  /** Asked right before the first byte of a request leaves. */
  readonly mayLeave?: () => boolean
  readonly onAnswer?: AnswerListener
}

export class ServerConnections {
  private readonly agent: ServerAgent
  private readonly host: string
  private readonly port: number
  private readonly now: () => number
  private readonly mayLeave: () => boolean
  private readonly onAnswer: AnswerListener

  private constructor ({ address, part, now = () => performance.now(), mayLeave = () => true, onAnswer = () => {} }: ServerConnectionsOptions) {
    this.now = now
    this.mayLeave = mayLeave
    this.onAnswer = onAnswer
    const colon = address.lastIndexOf(':')
    this.host = address.slice(0, colon)
    this.port = Number(address.slice(colon + 1))
    this.agent = new ServerAgent({ keepAlive: true, scheduling: 'lifo' }, now)
    this.limit(part)
  }

  static create (options: ServerConnectionsOptions): ServerConnections {
    return new ServerConnections(options)
  }

  /**
   * Begins a request and sends its body.
   * @param onLeft called right before the first byte may leave: from then on the request may have run.
   */
  send ({ method, path, headers, body }: ServerCall, onLeft: () => void): ClientRequest {
    const { host, port, agent } = this
    const call = request({ host, port, agent, method, path, headers: headers as unknown as Record<string, string>, setHost: false })
    const sentAt = this.now()
    call.on('response', ({ statusCode = 0, headers }) => this.onAnswer(statusCode, headers, sentAt))
    const leave = (): void => {
      if (this.mayLeave()) {
        onLeft()
      } else {
        call.destroy(new ClosedServerError(`The server at ${host}:${port} takes nothing now.`))
      }
    }
    call.on('socket', socket => {
      if (!socket.connecting) {
        leave()
        return
      }
      socket.once('connect', leave)
    })
    call.end(body.length > 0 ? body : undefined)
    return call
  }

  /** Other instances came or went, so that this one's part of the server's connections is another. */
  limit ({ total, idle }: ConnectionShare): void {
    this.agent.maxSockets = total
    this.agent.maxFreeSockets = idle
  }

  /** Closes idle connections; those at work end with their request. */
  closeIdle (): void {
    this.closeRested(0)
  }

  /** Closes idle connections that have served nothing for so long, milliseconds. */
  closeRested (restedMs: number): void {
    this.agent.closeRested(restedMs)
  }

  /** Nothing is kept any more; requests on their way end in peace. */
  close (): void {
    this.agent.maxFreeSockets = 0
    this.closeIdle()
  }
}
