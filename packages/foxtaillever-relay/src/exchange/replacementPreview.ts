/**
 * The beginning of an answer that may take the place of a silent one. It is held until it has an
 * event with which the stream can go on: a head, a comment or a part of an event proves nothing.
 */
import { EventSplitter } from '../streams/eventSplitter.js'
import { isRepeatedEvent } from './answerRelay.js'

/** A replacement that sends more than this without an event is rejected, bytes. */
const MAX_HELD_BYTES = 64 * 1024

export class ReplacementPreview {
  private readonly splitter = EventSplitter.create()
  private readonly held: Buffer[] = []
  private heldBytes = 0
  /** Whether the stream can go on with what is held. */
  hasEvent = false

  private constructor (private readonly lastEventId: string) {}

  /** @param lastEventId of the last event that the caller has received. */
  static create (lastEventId: string): ReplacementPreview {
    return new ReplacementPreview(lastEventId)
  }

  /** Everything received so far. */
  get bytes (): Buffer {
    return Buffer.concat(this.held)
  }

  /** Whether the answer has stopped in the middle of an event, if it has ended. */
  get isTruncated (): boolean {
    return this.splitter.incompleteEvent.length > 0
  }

  /** Returns what is wrong with the bytes; undefined where nothing is. */
  push (bytes: Buffer): string | undefined {
    this.held.push(bytes)
    this.heldBytes += bytes.length
    for (const { id, isComment } of this.splitter.push(bytes)) {
      if (isRepeatedEvent(id, this.lastEventId)) {
        return `event ${id} arrived after event ${this.lastEventId}`
      }
      this.hasEvent ||= !isComment
    }
    return !this.hasEvent && this.heldBytes > MAX_HELD_BYTES ? 'no event in its first bytes' : undefined
  }
}
