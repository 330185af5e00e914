/**
 * Callers' connections, all closed at a shutdown, each after its last answer is written
 * out. node:http closes only connections that have had a request, leaves open one whose
 * answer began before the shutdown, and destroys one whose answer has ended but waits for
 * a slow caller.
 */
import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { PendingAnswer } from './pendingAnswer.js'

/** Answers that this process still owes to callers. */
export interface UnsentAnswers {
  readonly answers: number
  /** Bytes of these answers that the operating system has not accepted yet, since their callers read slowly. */
  readonly bytes: number
}

export class CallerConnections {
  /** Answers of each connection that are not written out: the operating system has not accepted their last byte. */
  private readonly unsentOf = new Map<Socket, Set<PendingAnswer>>()
  private isClosing = false

  private constructor (private readonly onUnsent: (answer: PendingAnswer) => void) {}

  /** @param onUnsent called when a connection ended before its complete answer was written out. */
  static create (server: Server, onUnsent: (answer: PendingAnswer) => void = () => {}): CallerConnections {
    const connections = new CallerConnections(onUnsent)
    server.on('connection', socket => connections.addConnection(socket))
    return connections
  }

  /** Answers to requests of open connections that are not written out, whether they have begun or not. */
  get unsent (): UnsentAnswers {
    const pending = this.pendingAnswers()
    return { answers: pending.length, bytes: pending.reduce((sum, { unsentBytes }) => sum + unsentBytes, 0) }
  }

  /** Answers that are complete here and not written out. */
  get completeUnsent (): readonly PendingAnswer[] {
    return this.pendingAnswers().filter(({ completeAt }) => completeAt !== undefined)
  }

  /** Keeps the connection of a request open until its answer is written out. */
  trackRequest (socket: Socket, response: ServerResponse): PendingAnswer {
    const answer = PendingAnswer.create(response)
    this.unsentOf.get(socket)?.add(answer)
    // Emitted after the last byte was handed to the operating system, or when the connection ended.
    response.once('close', () => this.handleAnswerClosed(socket, answer))
    return answer
  }

  /** Closes connections without a pending answer now, and the others after their last answer. */
  close (): void {
    this.isClosing = true
    for (const [socket, answers] of this.unsentOf) {
      if (answers.size === 0) {
        socket.destroy()
      }
    }
  }

  private pendingAnswers (): readonly PendingAnswer[] {
    return [...this.unsentOf.values()].flatMap(answers => [...answers])
  }

  private addConnection (socket: Socket): void {
    this.unsentOf.set(socket, new Set())
    socket.once('close', () => this.unsentOf.delete(socket))
  }

  private handleAnswerClosed (socket: Socket, answer: PendingAnswer): void {
    const answers = this.unsentOf.get(socket)
    answers?.delete(answer)
    if (answer.completeAt !== undefined && !answer.isWrittenOut) {
      this.onUnsent(answer)
    }
    if (answers?.size === 0 && this.isClosing) {
      // Not destroyed: the answer's last bytes may still be on their way.
      socket.destroySoon()
    }
  }
}
