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
  /** Connections on which no further request can be read, and that are closed after their pending answers. */
  private readonly ending = new WeakSet<Socket>()
  /** Answers that are not written out. */
  unanswered = 0
  private isClosing = false
  /** The most connections that were open at the same time. */
  peak = 0

  private constructor (private readonly onUnsent: (answer: PendingAnswer) => void) {}

  /** @param onUnsent called when a connection ended before its complete answer was written out. */
  static create (server: Server, onUnsent: (answer: PendingAnswer) => void = () => {}): CallerConnections {
    const connections = new CallerConnections(onUnsent)
    server.on('connection', socket => connections.addConnection(socket))
    return connections
  }

  get open (): number {
    return this.unsentOf.size
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
    this.unanswered += 1
    // Emitted after the last byte was handed to the operating system, or when the connection ended.
    response.once('close', () => this.handleAnswerClosed(socket, answer))
    return answer
  }

  /** Whether a further request on the connection would get no answer, because one of the answers before it closes the connection. */
  endsBeforeNext (socket: Socket): boolean {
    const answers = this.pendingOf(socket)
    answers.forEach(answer => answer.renewKeepAlive())
    return this.ending.has(socket) || answers.some(({ closesConnection }) => closesConnection)
  }

  /** Closes the connection after its pending answers, because nothing more can be read from it. Returns whether there are any. */
  endAfterPending (socket: Socket): boolean {
    const hasPending = this.pendingOf(socket).length > 0
    if (hasPending) {
      this.ending.add(socket)
    }
    return hasPending
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

  private pendingOf (socket: Socket): readonly PendingAnswer[] {
    return [...this.unsentOf.get(socket) ?? []]
  }

  private pendingAnswers (): readonly PendingAnswer[] {
    return [...this.unsentOf.values()].flatMap(answers => [...answers])
  }

  private addConnection (socket: Socket): void {
    this.unsentOf.set(socket, new Set())
    this.peak = Math.max(this.peak, this.open)
    socket.once('close', () => this.unsentOf.delete(socket))
  }

  private handleAnswerClosed (socket: Socket, answer: PendingAnswer): void {
    const answers = this.unsentOf.get(socket)
    answers?.delete(answer)
    this.unanswered -= 1
    if (answer.completeAt !== undefined && !answer.isWrittenOut) {
      this.onUnsent(answer)
    }
    if (answers?.size === 0 && (this.isClosing || this.ending.has(socket))) {
      // Not destroyed: the answer's last bytes may still be on their way.
      socket.destroySoon()
    }
  }
}
