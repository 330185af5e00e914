/**
 * Closes callers' connections at a shutdown. node:http closes only idle
 * connections that have had a request. It leaves open a connection that was never
 * used, and one whose answer began before the shutdown. A later request on such
 * a connection would be cut when the process ends.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export class CallerConnections {
  /** Number of requests of each connection whose answer is not complete. */
  private readonly unanswered = new Map<Socket, number>()
  private isClosing = false

  private constructor () {}

  static create (server: Server): CallerConnections {
    const connections = new CallerConnections()
    server.on('connection', socket => connections.addConnection(socket))
    return connections
  }

  /** Keeps the connection of a request open until its answer is sent. */
  trackRequest (socket: Socket, response: ServerResponse): void {
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
    this.unanswered.set(socket, 0)
    socket.once('close', () => this.unanswered.delete(socket))
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
