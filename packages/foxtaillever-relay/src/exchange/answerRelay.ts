/**
 * Passes the answer of a backend server on to the caller: held until it is
 * whole while it is small, so that a cut one can be tried again; event by event
 * where the answer is a stream, so that it can go on at another server.
 */
import type { AnswerHead } from '../attempts/attempt.js'
import type { Exchange } from '../model/exchange.js'
import { EventSplitter } from '../streams/eventSplitter.js'
import type { CallerAnswer } from './callerAnswer.js'

/** Answers up to this size are held until they are whole, bytes. */
const MOST_HELD_BYTES = 256 * 1024

export interface AnswerRelayListener {
  /** The first event goes to the caller. */
  readonly onFirstEvent: () => void
  /** Events that came together go to the caller. */
  readonly onEvents: () => void
  /** The caller reads more slowly than the server writes. */
  readonly onFull: () => void
}

export class AnswerRelay {
  private head: AnswerHead | undefined
  private held: Buffer[] = []
  private heldBytes = 0
  private splitter = EventSplitter.create()
  /** Events go to the caller as they arrive. */
  private isStreaming = false
  /** The last event that the caller has. */
  lastEventId: string

  private constructor (private readonly exchange: Exchange, private readonly answer: CallerAnswer, private readonly listener: AnswerRelayListener) {
    this.lastEventId = exchange.resumeAfter
  }

  static create (exchange: Exchange, answer: CallerAnswer, listener: AnswerRelayListener): AnswerRelay {
    return new AnswerRelay(exchange, answer, listener)
  }

  get body (): Buffer {
    return Buffer.concat(this.held)
  }

  /** Whether another run may take over: the caller has nothing yet, or whole events of a stream that may be resumed. */
  get canContinue (): boolean {
    const { isStream, isResumable } = this.exchange.route
    return !this.answer.hasBegun || (isStream && isResumable && this.isStreaming)
  }

  /** A new try begins; what is held of the one before is dropped. */
  reset (): void {
    this.head = undefined
    this.held = []
    this.heldBytes = 0
    this.splitter = EventSplitter.create()
  }

  /** Returns why the answer does not fit, if it does not. */
  begin (head: AnswerHead): string | undefined {
    const isStreaming = this.exchange.route.isStream && head.marks.isEventStream && head.status < 300
    if (this.answer.hasBegun && !isStreaming) {
      return `status ${head.status} in the middle of an answer`
    }
    this.head = head
    this.isStreaming = isStreaming
    return undefined
  }

  /** Returns what is wrong with the bytes, if something is. */
  push (bytes: Buffer): string | undefined {
    if (!this.isStreaming) {
      this.hold(bytes)
      return undefined
    }
    const events = this.splitter.push(bytes)
    if (events.length > 0) {
      this.listener.onEvents()
    }
    for (const { bytes: event, id } of events) {
      if (isRepeated(id, this.lastEventId)) {
        return `event ${id} after ${this.lastEventId}`
      }
      this.beginAnswer()
      this.write(event)
      this.lastEventId = id === '' ? this.lastEventId : id
    }
    return this.splitter.isOverfull ? 'an event without end' : undefined
  }

  /**
   * The bytes that came are all. Returns why they are not a whole answer, if
   * they are not: without a length, a server that crashes in the middle of an
   * event looks like one that has finished.
   */
  checkWhole (): string | undefined {
    return this.isStreaming && this.head?.isFramed === false && this.splitter.rest.length > 0 ? 'cut in the middle of an event' : undefined
  }

  /** The answer is whole. */
  end (): void {
    const { head, answer } = this
    if (!head) {
      return
    }
    if (this.isStreaming) {
      this.beginAnswer()
      this.write(this.splitter.rest)
    }
    if (answer.hasBegun) {
      answer.end()
    } else {
      answer.send(head.status, head.headers, this.body)
    }
  }

  private hold (bytes: Buffer): void {
    if (this.answer.hasBegun) {
      this.write(bytes)
      return
    }
    this.held.push(bytes)
    this.heldBytes += bytes.length
    if (this.heldBytes > MOST_HELD_BYTES && this.head) {
      this.answer.begin(this.head.status, this.head.headers)
      this.held.splice(0).forEach(chunk => this.write(chunk))
    }
  }

  private beginAnswer (): void {
    if (!this.answer.hasBegun && this.head) {
      this.answer.begin(this.head.status, this.head.headers)
      this.listener.onFirstEvent()
    }
  }

  private write (bytes: Buffer): void {
    if (bytes.length > 0 && !this.answer.write(bytes)) {
      this.listener.onFull()
    }
  }
}

/** Ids of one stream rise; one that does not is of another run, or comes twice. */
function isRepeated (id: string, last: string): boolean {
  if (id === '' || last === '') {
    return false
  }
  const [value, before] = [Number(id), Number(last)]
  return Number.isFinite(value) && Number.isFinite(before) && value <= before
}
