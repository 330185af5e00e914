/** Decides whether new connections are kept, from how late the event loop and the accepting of connections are. */
import type { Clock } from 'foxtaillever-core'
import { ConnectionLimit } from 'foxtaillever-policy/relay/connectionLimit'
import type { RelayLog } from '../telemetry/relayLog.js'
import { AcceptQueue } from './acceptQueue.js'
import { EventLoopMonitor } from './eventLoopMonitor.js'

export interface ConnectionAdmissionOptions {
  readonly clock: Clock
  readonly log: RelayLog
  /** Median delay of the other instances' event loops, milliseconds; undefined where none is known. */
  readonly othersDelayMs: () => number | undefined
  readonly isListening: () => boolean
}

export class ConnectionAdmission {
  private readonly limit = ConnectionLimit.create()
  private readonly queue: AcceptQueue
  private readonly eventLoop: EventLoopMonitor

  private constructor (private readonly options: ConnectionAdmissionOptions) {
    this.queue = AcceptQueue.create(options.clock, () => {})
    this.eventLoop = EventLoopMonitor.create(options.clock, delayMs => this.observeDelay(delayMs))
  }

  static create (options: ConnectionAdmissionOptions): ConnectionAdmission {
    return new ConnectionAdmission(options)
  }

  start (): void {
    this.eventLoop.start()
  }

  stop (): void {
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

  /** @param unread connections that were kept and whose request is not read yet. */
  isKept (unread: number): boolean {
    this.queue.noteAccepted()
    const isKept = this.limit.admit(unread, this.options.clock.now())
    if (!isKept) {
      this.options.log.connectionTurnedAway(this.queue.longestWaitMs, this.delayMs)
    }
    return isKept
  }

  private observeDelay (delayMs: number): void {
    this.queue.check()
    const { clock, log, othersDelayMs, isListening } = this.options
    if (!isListening()) {
      return
    }
    const wasActive = this.limit.isActive
    const others = othersDelayMs()
    this.limit.observe(delayMs, others, clock.now())
    if (this.limit.isActive !== wasActive) {
      log.belief(wasActive ? 'New connections are no longer limited.' : 'Closes some new connections unread, since this instance falls behind and others do not.', { delayMs: Math.round(this.delayMs), othersDelayMs: others })
    }
  }
}
