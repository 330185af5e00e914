/**
 * Forwards the answer of a backend server to the caller. A small answer is
 * buffered until it is complete, so that a truncated one can be retried; a
 * stream is forwarded event by event, so that another server can resume it.
 */
import type { AnswerHead } from '../attempts/attempt.js'
import type { Exchange } from '../model/exchange.js'
import { ByteCollector } from '../servers/byteCollector.js'
import { EventSplitter } from '../streams/eventSplitter.js'
import type { CallerAnswer } from './callerAnswer.js'

/** Answers up to this size are buffered until they are complete, bytes. */
const MAX_BUFFERED_BYTES = 256 * 1024

/** From this status on, the server reports a failure. */
const SERVER_ERROR = 500

/** Comments between two events up to this size are passed on, bytes: one of 15 bytes a second for more than an hour. */
const MAX_COMMENT_BYTES = 64 * 1024

export interface AnswerRelayListener {
  /** The first event is sent to the caller. */
  readonly onFirstEvent: () => void
  /** One or more events that arrived together are sent to the caller. */
  readonly onEvents: () => void
  /** The caller reads more slowly than the server writes. */
  readonly onBackpressure: () => void
}

export class AnswerRelay {
  private head: AnswerHead | undefined
  private readonly buffered = ByteCollector.create()
  private splitter = EventSplitter.create()
  /** Bytes of comments since the last event. */
  private commentBytes = 0
  /** Events are sent to the caller as they arrive. */
  private isStreaming = false
  /** Id of the last event sent to the caller. */
  lastEventId: string
  /** Events sent to the caller. */
  eventsPassed = 0

  private constructor (private readonly exchange: Exchange, private readonly answer: CallerAnswer, private readonly listener: AnswerRelayListener) {
    this.lastEventId = exchange.resumeAfter
  }

  static create (exchange: Exchange, answer: CallerAnswer, listener: AnswerRelayListener): AnswerRelay {
    return new AnswerRelay(exchange, answer, listener)
  }

  get body (): Buffer {
    return this.buffered.bytes
  }

  /** Whether another attempt may continue the answer: the caller has received nothing yet, or only complete events of a resumable stream. */
  get canContinue (): boolean {
    const { isStream, isResumable } = this.exchange.route
    return !this.answer.hasBegun || (isStream && isResumable && this.isStreaming)
  }

  /** Whether the answer is forwarded event by event. */
  isEventStream ({ marks, status }: AnswerHead): boolean {
    return this.exchange.route.isStream && marks.isEventStream && status < 300
  }

  /** Starts a new attempt and drops what is buffered of the previous one. */
  reset (): void {
    this.head = undefined
    this.buffered.clear()
    this.answer.countHeld()
    this.commentBytes = 0
    this.splitter = EventSplitter.create()
  }

  /** Returns why an answer cannot continue the one that was begun; undefined where it can. */
  findMismatch (head: AnswerHead): string | undefined {
    return this.answer.hasBegun && !this.isEventStream(head) ? `status ${head.status} cannot continue the stream that was begun` : undefined
  }

  /** Begins to forward an answer. Returns why it cannot continue the one that was begun; undefined where it can. */
  begin (head: AnswerHead): string | undefined {
    const mismatch = this.findMismatch(head)
    if (mismatch === undefined) {
      this.head = head
      this.isStreaming = this.isEventStream(head)
    }
    return mismatch
  }

  /** Returns what is wrong with the bytes; undefined where nothing is. */
  push (bytes: Buffer): string | undefined {
    if (!this.isStreaming) {
      return this.buffer(bytes)
    }
    const events = this.splitter.push(bytes)
    if (events.length > 0) {
      this.listener.onEvents()
    }
    for (const { bytes: event, id, isComment } of events) {
      this.commentBytes = isComment ? this.commentBytes + event.length : 0
      if (this.commentBytes > MAX_COMMENT_BYTES) {
        return 'comments follow each other without an event'
      }
      if (isRepeatedEvent(id, this.lastEventId)) {
        return `event ${id} arrived after event ${this.lastEventId}`
      }
      this.beginAnswer()
      this.write(event)
      this.lastEventId = id === '' ? this.lastEventId : id
      this.eventsPassed += 1
    }
    return this.splitter.isEventTooLarge ? 'an event is too large' : undefined
  }

  /**
   * Checks an answer after its last byte. Returns why it is truncated; undefined
   * where it is complete. Without a content length, a server that crashes in
   * the middle of an event looks like one that has finished, and an instance that
   * carries its answer frames what it got.
   */
  findTruncation (): string | undefined {
    return this.isStreaming && this.splitter.incompleteEvent.length > 0 ? 'ended in the middle of an event' : undefined
  }

  /** Sends the rest of a complete answer. */
  end (): void {
    const { head, answer } = this
    if (!head) {
      return
    }
    if (this.isStreaming) {
      this.beginAnswer()
      this.write(this.splitter.incompleteEvent)
    }
    if (answer.hasBegun) {
      answer.end()
    } else {
      answer.send(head.status, head.headers, this.body)
    }
  }

  private buffer (bytes: Buffer): string | undefined {
    if (this.answer.hasBegun) {
      this.write(bytes)
      return undefined
    }
    this.buffered.add(bytes)
    const hasRoom = this.answer.countHeld(this.buffered.capacity)
    if ((!hasRoom || this.buffered.length > MAX_BUFFERED_BYTES) && this.head) {
      if (isServerError(this.head)) {
        return 'an error is too large'
      }
      this.answer.begin(this.head.status, this.head.headers)
      this.write(this.buffered.bytes)
      this.buffered.clear()
    }
    return undefined
  }

  private beginAnswer (): void {
    if (!this.answer.hasBegun && this.head) {
      this.answer.begin(this.head.status, this.head.headers)
      this.listener.onFirstEvent()
    }
  }

  private write (bytes: Buffer): void {
    if (bytes.length > 0 && !this.answer.write(bytes)) {
      this.listener.onBackpressure()
    }
  }
}

/** Whether the answer reports a failure of the server, which is passed on only if no other server answers. */
export function isServerError ({ status }: Pick<AnswerHead, 'status'>): boolean {
  return status >= SERVER_ERROR
}

/** Event ids of a stream increase. An id that does not is a duplicate or comes from another run of the request. */
export function isRepeatedEvent (id: string, last: string): boolean {
  if (id === '' || last === '') {
    return false
  }
  const [value, before] = [Number(id), Number(last)]
  return Number.isFinite(value) && Number.isFinite(before) && value <= before
}
