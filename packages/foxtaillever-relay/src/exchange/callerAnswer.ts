/**
 * The caller's side of one exchange: writes the answer, once, and notices when
 * the caller has gone or reads too slowly.
 */
import type { ServerResponse } from 'node:http'
import type { Failure } from 'foxtaillever-core'

export interface CallerAnswerListener {
  /** The caller closed its connection before the answer was whole. */
  readonly onGone: () => void
  /** The caller reads again. */
  readonly onDrained: () => void
}

/** Statuses whose answers have no body and say no length. */
const bodiless = new Set([204, 304])

function saysLength (headers: readonly string[]): boolean {
  return headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length')
}

export class CallerAnswer {
  private isOver = false

  private constructor (private readonly response: ServerResponse, private readonly refuse: (failure: Failure) => void) {}

  /** @param refuse writes a failure as the callers' protocol says, when nothing of an answer was written. */
  static create (response: ServerResponse, refuse: (failure: Failure) => void): CallerAnswer {
    return new CallerAnswer(response, refuse)
  }

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** The caller closed its connection while its request was read. */
  get isGone (): boolean {
    return this.response.destroyed
  }

  listen ({ onGone, onDrained }: CallerAnswerListener): void {
    this.response.on('close', () => {
      if (!this.isOver) {
        this.isOver = true
        onGone()
      }
    })
    this.response.on('drain', onDrained)
  }

  /** Begins an answer that is passed on as it arrives. */
  begin (status: number, headers: readonly string[]): void {
    this.response.writeHead(status, headers as string[])
  }

  /** Returns whether more may be written at once. */
  write (bytes: Buffer): boolean {
    return this.response.write(bytes)
  }

  /** The answer that was begun is whole. */
  end (): void {
    this.isOver = true
    this.response.end()
  }

  /** Sends a whole answer. */
  send (status: number, headers: readonly string[], body: Buffer): void {
    this.isOver = true
    const saysNone = bodiless.has(status) || this.response.req.method === 'HEAD' || saysLength(headers)
    this.response.writeHead(status, saysNone ? headers as string[] : [...headers, 'Content-Length', String(body.length)])
    this.response.end(body)
  }

  /** Ends with a failure; an answer that was begun is broken off, so that it does not look complete. */
  fail (failure: Failure): void {
    this.isOver = true
    if (this.hasBegun) {
      this.response.destroy()
      return
    }
    this.refuse(failure)
  }
}
