/**
 * Bounds the open connections of a server, so that descriptors are left for the other connections of the process. At the
 * bound a new connection takes the place of one that has sent no request yet, else of one that has been idle for longest:
 * callers send a request soon after they connect, and can repeat one that meets the close of an idle connection.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'

/** Which connection was closed at the bound. */
export enum CapClosure {
  /** One that had sent no complete head. */
  WithoutRequest = 'without-request',
  /** One that was idle after an answer. */
  Idle = 'idle',
  /** The new one, since all others had requests in progress. */
  New = 'new'
}

export interface ConnectionCapOptions {
  readonly maxConnections: number
  readonly onClosed: (closure: CapClosure) => void
}

export class ConnectionCap {
  /** Open connections with their requests in progress. */
  private readonly requestsOf = new Map<Socket, number>()
  /** Open connections without a request before, and those without one in progress, each in the order in which they became so. */
  private readonly withoutRequest = new Set<Socket>()
  private readonly idle = new Set<Socket>()

  private constructor (private readonly options: ConnectionCapOptions) {}

  /** Bounds the connections of the server from now on. */
  static attach (server: Server, options: ConnectionCapOptions): void {
    const cap = new ConnectionCap(options)
    server.on('connection', (socket: Socket) => cap.add(socket))
    server.on('request', ({ socket }, response) => {
      cap.beginRequest(socket)
      response.once('close', () => cap.endRequest(socket))
    })
  }

  private add (socket: Socket): void {
    const hasRoom = this.requestsOf.size < this.options.maxConnections || this.closeFirst(this.withoutRequest, CapClosure.WithoutRequest) || this.closeFirst(this.idle, CapClosure.Idle)
    if (!hasRoom) {
      this.options.onClosed(CapClosure.New)
      socket.destroy()
      return
    }
    this.requestsOf.set(socket, 0)
    this.withoutRequest.add(socket)
    socket.once('close', () => this.delete(socket))
  }

  private beginRequest (socket: Socket): void {
    const requests = this.requestsOf.get(socket)
    if (requests !== undefined) {
      this.requestsOf.set(socket, requests + 1)
      this.withoutRequest.delete(socket)
      this.idle.delete(socket)
    }
  }

  private endRequest (socket: Socket): void {
    const requests = this.requestsOf.get(socket)
    if (requests !== undefined) {
      this.requestsOf.set(socket, requests - 1)
      if (requests === 1) {
        this.idle.add(socket)
      }
    }
  }

  private closeFirst (sockets: ReadonlySet<Socket>, closure: CapClosure): boolean {
    const [first] = sockets
    if (first === undefined) {
      return false
    }
    this.delete(first)
    this.options.onClosed(closure)
    first.destroy()
    return true
  }

  private delete (socket: Socket): void {
    this.requestsOf.delete(socket)
    this.withoutRequest.delete(socket)
    this.idle.delete(socket)
  }
}
