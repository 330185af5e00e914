/**
 * Callers' connections: turns new ones away while the instance falls behind, and closes
 * them all at a shutdown. node:http closes only idle
 * connections that have had a request. It leaves open a connection that was never
 * used, and one whose answer began before the shutdown. A later request on such
 * a connection would be cut when the process ends.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export class CallerConnections {
  /** Number of requests of each connection whose answer is not complete. */
  private readonly unanswered = new Map<Socket, number>()
  /** Connections whose first request is not read yet. */
  private readonly unread = new Set<Socket>()
  private isClosing = false

  private constructor (private readonly isKept: (unread: number) => boolean) {}

  /** @param isKept decides on a new connection, given how many others have no request read yet. */
  static create (server: Server, isKept: (unread: number) => boolean): CallerConnections {
    const connections = new CallerConnections(isKept)
    server.on('connection', socket => connections.addConnection(socket))
    return connections
  }

  /** Keeps the connection of a request open until its answer is sent. */
  trackRequest (socket: Socket, response: ServerResponse): void {
    this.unread.delete(socket)
    this.unanswered.set(socket, (this.unanswered.get(socket) ?? 0) + 1)
    response.once('close', () => this.handleAnswerClosed(socket))
  }

  /** Closes connections without a pending answer now, and the others after their last answer. */
  close (): void {
    this.isClosing = true
    for (const [socket, count] of this.unanswered) {
      if (count === 0) {
        socket.destroy()
      }
    }
  }

  private addConnection (socket: Socket): void {
    if (!this.isKept(this.unread.size)) {
      // Nothing is read, so its request may go to another instance.
      socket.destroy()
      return
    }
    this.unanswered.set(socket, 0)
    this.unread.add(socket)
    socket.once('close', () => {
      this.unanswered.delete(socket)
      this.unread.delete(socket)
    })
  }

  private handleAnswerClosed (socket: Socket): void {
    const count = this.unanswered.get(socket)
    if (count === undefined) {
      return
    }
    this.unanswered.set(socket, count - 1)
    if (count === 1 && this.isClosing) {
      // Not destroyed: the answer's last bytes may still be on their way.
      socket.destroySoon()
    }
  }
}
