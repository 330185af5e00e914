/**
 * The caller's side of one exchange: writes exactly one answer, and detects when
 * the caller disconnects or reads too slowly.
 */
import type { ServerResponse } from 'node:http'
import type { Failure } from 'foxtaillever-core'
import { Holding, ProcessBudget, Reservation } from 'foxtaillever-policy/relay/processBudget'
import type { BlockedAnswer, BlockedAnswers } from './blockedAnswers.js'

/** Bytes that were read from a server, in the pieces of its connection, when reading pauses since the caller does not read. */
const PAUSED_READ_BYTES = 128 * 1024

export interface CallerAnswerListener {
  /** The caller closed its connection before the answer was complete. */
  readonly onGone: () => void
  /** The write buffer is empty; writing may continue. */
  readonly onDrained: () => void
}

/** Statuses whose answers have neither a body nor a content length. */
const bodilessStatuses = new Set([204, 304])

function hasContentLength (headers: readonly string[]): boolean {
  return headers.some((text, index) => index % 2 === 0 && text.toLowerCase() === 'content-length')
}

export interface CallerAnswerOptions {
  /** Writes a failure in the callers' protocol; called only when nothing of an answer was written. */
  readonly refuse: (failure: Failure) => void
  /** Called when the whole answer is in the connection's buffers. */
  readonly onComplete?: () => void
  /** What the answer holds until it is written out; not counted if not given. */
  readonly held?: Reservation
  /** Answers of all callers that do not read, which make room for others. */
  readonly blocked?: BlockedAnswers
}

export class CallerAnswer implements BlockedAnswer {
  private isOver = false
  /** Bytes of an answer that is forwarded as it arrives. */
  bytesPassed = 0

  private readonly held: Reservation

  private constructor (private readonly response: ServerResponse, private readonly options: CallerAnswerOptions) {
    this.held = options.held ?? Reservation.create(ProcessBudget.unlimited(), Holding.Answer)
  }

  static create (response: ServerResponse, options: CallerAnswerOptions): CallerAnswer {
    return new CallerAnswer(response, options)
  }

  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** Bytes of the answer that the operating system has not accepted yet. */
  get unsentBytes (): number {
    return this.response.writableLength
  }

  /** How the connection closed: the code of an error, or whether the caller had ended its side; undefined while it is open. */
  get connectionEnd (): string | undefined {
    const { destroyed, errored, readableEnded } = this.response.req.socket
    if (!destroyed) {
      return undefined
    }
    const error: NodeJS.ErrnoException | null = errored
    return error?.code ?? (readableEnded ? 'ended' : 'closed')
  }

  /** Whether nothing more is written: the answer is complete, or its connection is closed. */
  get isEnded (): boolean {
    return this.response.writableEnded || this.response.destroyed
  }

  /** Whether the caller closed its connection while its request was read. */
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
    this.response.on('drain', () => {
      this.options.blocked?.delete(this)
      this.countHeld()
      onDrained()
    })
  }

  /** Begins an answer that is forwarded as it arrives. */
  begin (status: number, headers: readonly string[]): void {
    this.response.writeHead(status, headers as string[])
  }

  /** Returns false when the caller has to drain the write buffer first. */
  write (bytes: Buffer): boolean {
    this.bytesPassed += bytes.length
    const isEmpty = this.response.write(bytes)
    this.noteWritten()
    return isEmpty
  }

  /** Completes the answer that was begun. */
  end (): void {
    this.isOver = true
    this.response.end()
    this.options.onComplete?.()
  }

  /** Sends a complete answer. */
  send (status: number, headers: readonly string[], body: Buffer): void {
    this.isOver = true
    const omitsLength = bodilessStatuses.has(status) || this.response.req.method === 'HEAD' || hasContentLength(headers)
    this.response.writeHead(status, omitsLength ? headers as string[] : [...headers, 'Content-Length', String(body.length)])
    this.response.end(body)
    this.noteWritten()
    this.options.onComplete?.()
  }

  /** Ends with a failure. An answer that was begun is cut by closing the connection, so that it does not look complete. */
  fail (failure: Failure): void {
    this.isOver = true
    if (this.hasBegun) {
      this.response.destroy()
      return
    }
    this.options.refuse(failure)
    this.options.onComplete?.()
  }

  cut (): void {
    this.held.release()
    this.response.destroy()
  }

  /**
   * Counts what the answer holds; returns whether there is room for it, if answers are cut whose callers do not read.
   * @param bufferedBytes of an answer that is not written before it is complete.
   */
  countHeld (bufferedBytes = 0): boolean {
    const isServerPaused = !this.isOver && this.response.writableNeedDrain
    const bytes = bufferedBytes + this.unsentBytes + (isServerPaused ? PAUSED_READ_BYTES : 0)
    while (!this.response.destroyed && !this.held.resize(bytes)) {
      if (this.options.blocked?.cutLongestBlocked() !== true) {
        return false
      }
    }
    return true
  }

  private noteWritten (): void {
    if (this.response.writableNeedDrain) {
      this.options.blocked?.add(this)
    }
    this.countHeld()
  }
}
