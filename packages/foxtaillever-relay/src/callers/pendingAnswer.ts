/** An answer that this process owes to a caller, as the log names it. */
import type { ServerResponse } from 'node:http'

export class PendingAnswer {
  /** Empty until the head of the request was read. */
  requestId = ''
  /** Since when the whole answer is in the connection's buffers, milliseconds of Unix time; undefined before. */
  completeAt: number | undefined

  private constructor (private readonly response: ServerResponse) {}

  static create (response: ServerResponse): PendingAnswer {
    return new PendingAnswer(response)
  }

  /** Bytes that the operating system has not accepted yet. */
  get unsentBytes (): number {
    return this.response.writableLength
  }

  /** Whether the operating system has accepted the last byte. */
  get isWrittenOut (): boolean {
    return this.response.writableFinished
  }
}
