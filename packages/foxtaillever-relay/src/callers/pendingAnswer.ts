/** An answer that this process owes to a caller, as the log names it. */
import type { ServerResponse } from 'node:http'

export class PendingAnswer {
  /** Empty until the head of the request was read. */
  requestId = ''
  /** Since when the whole answer is in the connection's buffers, milliseconds of Unix time; undefined before. */
  completeAt: number | undefined
  /** Whether a shutdown closes the connection after this answer, unless another request follows in time. */
  private endsForShutdown = false

  private constructor (private readonly response: ServerResponse) {}

  static create (response: ServerResponse): PendingAnswer {
    return new PendingAnswer(response)
  }

  /** Bytes that the operating system has not accepted yet. */
  get unsentBytes (): number {
    return this.response.writableLength
  }

  /** Whether the connection closes after this answer. */
  get closesConnection (): boolean {
    return !this.response.shouldKeepAlive
  }

  /** Closes the connection after this answer, since the instance shuts down. */
  endKeepAlive (): void {
    this.response.shouldKeepAlive = false
    this.endsForShutdown = true
  }

  /** Another request has arrived on the connection: it closes after that one, unless this answer has announced the close already. */
  renewKeepAlive (): void {
    if (this.endsForShutdown && !this.response.headersSent) {
      this.response.shouldKeepAlive = true
    }
  }

  /** Whether the operating system has accepted the last byte. */
  get isWrittenOut (): boolean {
    return this.response.writableFinished
  }
}
