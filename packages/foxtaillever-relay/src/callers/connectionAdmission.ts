/**
 * Decides whether new connections are kept. While they are limited, those that wait in
 * the queue of the listening socket are accepted together, without reading them, up to
 * the limit. The rest is turned away at no cost by closing the listening socket for a
 * turn of the event loop, which resets what waits and refuses what comes. After a delay
 * of the process this would reset connections whose requests have waited for long: then
 * all of them are accepted first, and those beyond the limit are refused with an answer.
 */
import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { ConnectionLimit } from 'foxtaillever-policy/relay/connectionLimit'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { RelayLog } from '../telemetry/relayLog.js'
import { AcceptQueue } from './acceptQueue.js'
import { renderLastAnswer } from './answerFailure.js'
import { EventLoopMonitor, INTERVAL_MS } from './eventLoopMonitor.js'
import { ListeningSocket, QUEUE_LENGTH } from './listeningSocket.js'
import { refuseConnections, type RefusalBounds } from './refuseConnections.js'

/** A full queue, and as many that come while it is emptied. These must not wait for connections that come without end. */
const MAX_COLLECTED = 2 * QUEUE_LENGTH

export interface ConnectionAdmissionOptions {
  readonly clock: Clock
  readonly log: RelayLog
  readonly server: Server
  /** Median delay of the other instances, milliseconds; undefined where none is known. */
  readonly othersDelayMs: () => number | undefined
  readonly refusalBounds: () => RefusalBounds
}

export class ConnectionAdmission {
  private readonly limit = ConnectionLimit.create()
  private readonly queue: AcceptQueue
  private readonly eventLoop: EventLoopMonitor
  private readonly listeningSocket: ListeningSocket
  /** Handle a connection that is kept. */
  private readonly handlers: ReturnType<Server['listeners']>
  /** Accepted connections that will be kept, not yet handled. */
  private kept: Socket[] = []
  /** Accepted connections that will be refused. */
  private excess: Socket[] = []
  private onDrained: (() => void) | undefined
  /** Connections that were accepted since the queue is being drained. */
  private drained = 0

  private constructor (private readonly options: ConnectionAdmissionOptions) {
    const { clock, log, server } = options
    this.queue = AcceptQueue.create(clock, () => this.handleEmptyQueue())
    this.eventLoop = EventLoopMonitor.create(clock, delayMs => this.observeDelay(delayMs))
    this.listeningSocket = ListeningSocket.create(server, reason => log.trouble('New connections cannot be accepted.', { reason }))
    this.handlers = server.listeners('connection')
    server.removeAllListeners('connection')
    server.on('connection', socket => this.handleConnection(socket))
    // Read by node:net for each new connection, though its types know it at creation only.
    Object.assign(server, { pauseOnConnect: true })
  }

  /** From now on the other listeners for new connections of the server get only those that are kept. */
  static create (options: ConnectionAdmissionOptions): ConnectionAdmission {
    return new ConnectionAdmission(options)
  }

  /** Resolves with the port. */
  async listen (host: string, port: number): Promise<number> {
    const actualPort = await this.listeningSocket.open(host, port)
    this.eventLoop.start()
    return actualPort
  }

  stopListening (): void {
    this.listeningSocket.close()
  }

  /**
   * Accepts the connections that have arrived, and resolves when their first bytes are read. Closing
   * the listening socket before would reset them, however long they have waited while the process was late.
   */
  async drain (): Promise<void> {
    if (this.listeningSocket.isOpen) {
      this.drained = 0
      await new Promise<void>(resolve => {
        this.onDrained = resolve
        this.queue.check()
      })
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  stopMeasuring (): void {
    this.eventLoop.stop()
  }

  /** By how much this instance is late, milliseconds, as other instances get to know it. */
  get delayMs (): number {
    return this.limit.delay
  }

  /** By how much the event loop was late at most since the last call, milliseconds. */
  takeLargestDelay (): number {
    return this.eventLoop.takeLargest()
  }

  private handleConnection (socket: Socket): void {
    this.queue.noteAccepted()
    this.drained += 1
    if (this.drained >= MAX_COLLECTED) {
      this.onDrained?.()
    }
    if (!this.limit.isActive) {
      this.serve(socket)
      return
    }
    if (this.limit.admit(this.kept.length, this.options.clock.now())) {
      this.kept.push(socket)
    } else {
      this.turnAway(socket, this.queue.longestWaitMs)
    }
  }

  private turnAway (socket: Socket, longestWaitMs: number): void {
    const isInTime = this.limit.isInTime(longestWaitMs)
    this.options.log.connectionTurnedAway(isInTime ? 'closed' : 'refused', longestWaitMs, this.delayMs)
    if (isInTime) {
      socket.destroy()
      this.listeningSocket.pause()
      this.handleCollected()
    } else {
      this.excess.push(socket)
      if (this.excess.length >= MAX_COLLECTED) {
        this.handleCollected()
      }
    }
  }

  private handleEmptyQueue (): void {
    if (this.excess.length > 0) {
      // No more connections come while these are answered.
      this.listeningSocket.pause()
      this.handleCollected()
      this.queue.check()
    } else {
      this.handleCollected()
      this.onDrained?.()
      if (this.listeningSocket.resume()) {
        this.queue.noteOpened()
      }
    }
  }

  private handleCollected (): void {
    const { kept, excess } = this
    this.kept = []
    this.excess = []
    kept.forEach(socket => this.serve(socket))
    if (excess.length > 0) {
      refuseConnections(excess, this.renderRefusal(), this.options.refusalBounds())
    }
  }

  private serve (socket: Socket): void {
    if (!socket.destroyed) {
      this.handlers.forEach(handler => { handler.call(this.options.server, socket) })
      socket.resume()
    }
  }

  private renderRefusal (): Buffer {
    const now = this.options.clock.now()
    return renderLastAnswer(Failure.notRun(FailureCode.Overloaded, 'This instance has more new connections than it can serve.', earliestRetryTime(FailureCode.Overloaded, now)), now)
  }

  private observeDelay (delayMs: number): void {
    this.queue.check()
    if (!this.listeningSocket.isOpen) {
      return
    }
    const { clock, log, othersDelayMs } = this.options
    const wasActive = this.limit.isActive
    const others = othersDelayMs()
    // A queue that is never empty counts like an event loop that is blocked for as long.
    this.limit.observe(Math.max(delayMs, this.queue.backlogMs - INTERVAL_MS), others, clock.now())
    if (this.limit.isActive !== wasActive) {
      log.belief(wasActive ? 'New connections are no longer limited.' : 'Turns some new connections away, since this instance falls behind and others do not.', { delayMs: Math.round(this.delayMs), othersDelayMs: others })
    }
  }
}
