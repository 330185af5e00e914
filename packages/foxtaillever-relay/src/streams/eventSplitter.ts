/**
 * Splits a stream into events and reads no more of an event than its id. A
 * backend server that crashes may stop in the middle of an event. The caller
 * gets complete events only, so that the stream can be resumed at another server.
 */
import { ByteCollector } from '../servers/byteCollector.js'

const ID_FIELD = Buffer.from('id:')
const LINE_END = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a

/** The end of an event has two or three bytes, so that it may begin this many bytes before the newest ones. */
const END_OVERLAP = 2

/** Larger than any event of a model; a stream whose event never ends would fill the memory. */
const MAX_EVENT_BYTES = 1024 * 1024

/** One complete event, including the empty line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Empty for an event without id. */
  readonly id: string
  /** Whether it has only comments and empty lines, and so is no event for the caller. */
  readonly isComment: boolean
}

/** Index after the empty line that ends the first event; -1 for none. Lines may end with a carriage return too. */
function endOfEvent (bytes: Buffer, from: number): number {
  let line = bytes.indexOf(LINE_END, from)
  while (line !== -1) {
    const next = bytes[line + 1] === CARRIAGE_RETURN ? line + 2 : line + 1
    if (bytes[next] === LINE_END) {
      return next + 1
    }
    line = bytes.indexOf(LINE_END, line + 1)
  }
  return -1
}

function readId (event: Buffer): string {
  let from = 0
  while (from < event.length) {
    const end = event.indexOf(LINE_END, from)
    const line = event.subarray(from, end === -1 ? event.length : end)
    if (line.subarray(0, ID_FIELD.length).equals(ID_FIELD)) {
      return line.subarray(ID_FIELD.length).toString('latin1').trim()
    }
    from = end === -1 ? event.length : end + 1
  }
  return ''
}

const firstBytesWithoutField = new Set([COLON, LINE_END, CARRIAGE_RETURN])

function hasOnlyComments (event: Buffer): boolean {
  let from = 0
  while (from < event.length) {
    if (!firstBytesWithoutField.has(event[from] ?? LINE_END)) {
      return false
    }
    const end = event.indexOf(LINE_END, from)
    from = end === -1 ? event.length : end + 1
  }
  return true
}

export class EventSplitter {
  /** Bytes of the event that has not ended yet. */
  private readonly incomplete = ByteCollector.create()

  private constructor () {}

  static create (): EventSplitter {
    return new EventSplitter()
  }

  /** Bytes of the event that has not ended yet. */
  get incompleteEvent (): Buffer {
    return this.incomplete.bytes
  }

  /** Whether the event that has not ended yet exceeds the maximum size. */
  get isEventTooLarge (): boolean {
    return this.incomplete.length > MAX_EVENT_BYTES
  }

  /** Adds bytes, and returns the events that end in them. */
  push (bytes: Buffer): StreamEvent[] {
    const { incomplete } = this
    // Only the newest bytes are searched: an event may arrive in many pieces.
    if (endOfEvent(Buffer.concat([incomplete.bytes.subarray(-END_OVERLAP), bytes]), 0) === -1) {
      incomplete.add(bytes)
      return []
    }
    const joined = incomplete.length === 0 ? bytes : Buffer.concat([incomplete.bytes, bytes])
    const events: StreamEvent[] = []
    let from = 0
    for (;;) {
      const end = endOfEvent(joined, from)
      if (end === -1) {
        break
      }
      const event = joined.subarray(from, end)
      events.push({ bytes: event, id: readId(event), isComment: hasOnlyComments(event) })
      from = end
    }
    incomplete.clear()
    incomplete.add(joined.subarray(from))
    return events
  }
}
