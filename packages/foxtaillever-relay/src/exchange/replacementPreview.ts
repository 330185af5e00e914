/**
 * The beginning of an answer that may take the place of a silent one. It is held until it proves
 * that its server goes on: by an event with which a stream can go on, or by the end of any other
 * answer. A head, a comment or a part of an event proves nothing.
 */
import { EventSplitter } from '../streams/eventSplitter.js'
import { isRepeatedEvent } from './answerRelay.js'

/** Longest beginning that is held, bytes. */
const MAX_HELD_BYTES = 64 * 1024

/** Kinds of answers, by how they are held. */
export enum HeldKind {
  /** Forwarded event by event. */
  Stream = 'stream',
  /** Forwarded when it is complete, or when it exceeds what is held. */
  Whole = 'whole',
  /** Forwarded only if no other server answers. */
  Error = 'error'
}

export class ReplacementPreview {
  private readonly splitter = EventSplitter.create()
  private readonly held: Buffer[] = []
  private heldBytes = 0
  /** Whether what is held proves that the server goes on. */
  isSufficient = false

  private readonly checks: Readonly<Record<HeldKind, (bytes: Buffer) => string | undefined>> = {
    [HeldKind.Stream]: bytes => this.checkEvents(bytes),
    [HeldKind.Whole]: () => this.checkSize(),
    [HeldKind.Error]: () => this.isFull ? 'an error is too large' : undefined
  }

  private constructor (private readonly kind: HeldKind, private readonly lastEventId: string) {}

  /** @param lastEventId of the last event that the caller has received; empty for none. */
  static create (kind: HeldKind, lastEventId: string): ReplacementPreview {
    return new ReplacementPreview(kind, lastEventId)
  }

  /** Everything received so far. */
  get bytes (): Buffer {
    return Buffer.concat(this.held)
  }

  /** Whether the answer has stopped in the middle of an event, if it has ended. */
  get isTruncated (): boolean {
    return this.kind === HeldKind.Stream && this.splitter.incompleteEvent.length > 0
  }

  /** Returns what is wrong with the bytes; undefined where nothing is. */
  push (bytes: Buffer): string | undefined {
    this.held.push(bytes)
    this.heldBytes += bytes.length
    return this.checks[this.kind](bytes)
  }

  private get isFull (): boolean {
    return this.heldBytes > MAX_HELD_BYTES
  }

  private checkEvents (bytes: Buffer): string | undefined {
    for (const { id, isComment } of this.splitter.push(bytes)) {
      if (isRepeatedEvent(id, this.lastEventId)) {
        return `event ${id} arrived after event ${this.lastEventId}`
      }
      this.isSufficient ||= !isComment
    }
    return !this.isSufficient && this.isFull ? 'no event in its first bytes' : undefined
  }

  private checkSize (): undefined {
    this.isSufficient ||= this.isFull
  }
}
