/**
 * Callers' connections at a shutdown. node:http closes only connections that
 * have had a request: one that was opened and not used yet stays, and one whose
 * answer began before the shutdown is kept after it. A request that comes on
 * either much later would be cut when the process ends.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

export class CallerConnections {
  /** Requests of each connection that are not answered to the end. */
  private readonly unanswered = new Map<Socket, number>()
  private isClosing = false

  private constructor () {}

  static create (server: Server): CallerConnections {
    const connections = new CallerConnections()
    server.on('connection', socket => connections.add(socket))
    return connections
  }

  /** A request was read; its connection stays until the answer is out. */
  hold (socket: Socket, response: ServerResponse): void {
    this.unanswered.set(socket, (this.unanswered.get(socket) ?? 0) + 1)
    response.once('close', () => this.release(socket))
  }

  /** Closes each connection that owes no answer, and the others after their last. */
  close (): void {
    this.isClosing = true
    for (const [socket, count] of this.unanswered) {
      if (count === 0) {
        socket.destroy()
      }
    }
  }

  private add (socket: Socket): void {
    this.unanswered.set(socket, 0)
    socket.once('close', () => this.unanswered.delete(socket))
  }

  private release (socket: Socket): void {
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
