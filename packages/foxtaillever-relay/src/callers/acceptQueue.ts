/**
 * Tells how long new connections may have waited in the queue of the listening socket.
 * Node accepts one connection in each turn of the event loop, so the queue may be long
 * while all timers are in time. A turn that accepts none shows that the queue is empty.
 */
import type { Clock } from 'foxtaillever-core'

export class AcceptQueue {
  private accepted = 0
  private isChecking = false
  /** The queue was empty then or later, milliseconds of Unix time. */
  private emptyAt: number
  /** Since when each turn of the event loop has accepted a connection, milliseconds of Unix time; undefined while the queue is empty. */
  private backlogSince: number | undefined

  private constructor (private readonly clock: Clock, private readonly onEmpty: () => void) {
    this.emptyAt = clock.now()
  }

  /** @param onEmpty called each time when the queue was found empty. */
  static create (clock: Clock, onEmpty: () => void): AcceptQueue {
    return new AcceptQueue(clock, onEmpty)
  }

  /** Since when the queue has not been empty, milliseconds ago; 0 while it is empty. */
  get backlogMs (): number {
    return this.backlogSince === undefined ? 0 : this.clock.now() - this.backlogSince
  }

  /** Longest time that a connection accepted now may have waited, and bytes on it, milliseconds. */
  get longestWaitMs (): number {
    return this.clock.now() - this.emptyAt
  }

  /** The listening socket was closed until now. */
  noteOpened (): void {
    this.emptyAt = this.clock.now()
  }

  noteAccepted (): void {
    this.accepted += 1
    this.backlogSince ??= this.clock.now()
    if (!this.isChecking) {
      this.isChecking = true
      // Not checked before the turn of this connection has ended.
      setImmediate(() => this.checkNextTurn())
    }
  }

  /** Finds out whether the queue is empty. Must be called from a timer or `setImmediate`, that is before the event loop reads its sockets. */
  check (): void {
    if (!this.isChecking) {
      this.isChecking = true
      this.checkNextTurn()
    }
  }

  private checkNextTurn (): void {
    const { accepted } = this
    const now = this.clock.now()
    // Runs after the event loop has looked at the listening socket once more.
    setImmediate(() => {
      if (this.accepted === accepted) {
        this.handleEmpty(now)
      } else {
        this.checkNextTurn()
      }
    })
  }

  private handleEmpty (emptyAt: number): void {
    this.isChecking = false
    this.emptyAt = emptyAt
    this.backlogSince = undefined
    this.onEmpty()
  }
}
