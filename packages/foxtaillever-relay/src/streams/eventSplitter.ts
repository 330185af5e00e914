/**
 * Cuts a stream of events at their ends, without reading more of an event than
 * its id. A backend server that crashes may stop in the middle of an event; the
 * caller gets whole events only, so that the stream can go on elsewhere.
 */

const ID_FIELD = Buffer.from('id:')
const LINE_END = 0x0a
const CARRIAGE_RETURN = 0x0d

/** More than any event of a model; a stream without ends would fill the memory. */
const MOST_CARRIED_BYTES = 1024 * 1024

/** One whole event with its end. */
export interface StreamEvent {
  readonly bytes: Buffer
  /** Empty for an event without id. */
  readonly id: string
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

export class EventSplitter {
  private carried: Buffer = Buffer.alloc(0)

  private constructor () {}

  static create (): EventSplitter {
    return new EventSplitter()
  }

  /** Bytes of an event that has not ended yet. */
  get rest (): Buffer {
    return this.carried
  }

  /** Whether an event has grown beyond all measure. */
  get isOverfull (): boolean {
    return this.carried.length > MOST_CARRIED_BYTES
  }

  /** The events that end in these bytes. */
  push (bytes: Buffer): StreamEvent[] {
    const joined = this.carried.length === 0 ? bytes : Buffer.concat([this.carried, bytes])
    const events: StreamEvent[] = []
    let from = 0
    for (;;) {
      const end = endOfEvent(joined, from)
      if (end === -1) {
        break
      }
      const event = joined.subarray(from, end)
      events.push({ bytes: event, id: readId(event) })
      from = end
    }
    this.carried = joined.subarray(from)
    return events
  }
}
