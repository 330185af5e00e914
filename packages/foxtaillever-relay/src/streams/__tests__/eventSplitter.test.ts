import { describe, it } from 'foxtaillever-testing'
import { EventSplitter } from '../eventSplitter.js'

/** Size of an event that does not end, bytes. */
const EVENT_BYTES = 300_000

/** Bytes of a chunk of one byte on a link. */
const CHUNK_BYTES = 6

/** Link of a small instance, bits a second. */
const LINK_BITS_PER_S = 10_000_000

/** Time in which such an event arrives, milliseconds: the process must not need longer. */
const ARRIVAL_MS = EVENT_BYTES * CHUNK_BYTES * 8 * 1000 / LINK_BITS_PER_S

/** Events with every way to end a line. */
const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\ndata: c\n\r\nid: 3\ndata: d'

interface Split {
  readonly events: ReadonlyArray<{ readonly text: string, readonly id: string }>
  readonly rest: string
}

function split (pieces: readonly Buffer[]): Split {
  const splitter = EventSplitter.create()
  const events = pieces.flatMap(piece => splitter.push(piece)).map(({ bytes, id }) => ({ text: bytes.toString(), id }))
  return { events, rest: splitter.incompleteEvent.toString() }
}

describe('EventSplitter', () => {
  // Guards against a process that does nothing else while a server sends one event in chunks of a byte.
  it('keeps up with an event that does not end, however small its chunks are', t => {
    const splitter = EventSplitter.create()
    const piece = Buffer.from('x')
    const beganAt = performance.now()
    for (let index = 0; index < EVENT_BYTES; index += 1) {
      splitter.push(piece)
    }
    const ms = performance.now() - beganAt
    t.is(splitter.incompleteEvent.length, EVENT_BYTES)
    t.true(ms < ARRIVAL_MS, `${ms} ms`)
  })

  // Guards against an end of an event that is missed because it lies in two pieces, or found too early.
  it('finds the same events however the bytes are cut', t => {
    const whole = split([Buffer.from(text)])
    t.deepEqual(whole.events.map(({ id }) => id), ['1', '2', '', ''])
    t.is(whole.rest, 'id: 3\ndata: d')
    for (const size of [1, 2, 3, 5, 7, 16]) {
      const pieces = Array.from({ length: Math.ceil(text.length / size) }, (_, index) => Buffer.from(text.slice(index * size, (index + 1) * size)))
      t.deepEqual(split(pieces), whole, `pieces of ${size}`)
    }
  })
})
