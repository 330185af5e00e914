/**
 * Measures what one message between instances costs: its bytes, and the processor
 * time to encode and seal it and to open and decode it, without the operating
 * system's time for the socket.
 */
import { createMessage, decodeMessage, encodeMessage, FactKind, HEADER_BYTES, KeyRing, MemberState, open, Permission, seal, type Fact, type MemberEntry, type Message } from 'foxtaillever-fleet'
import { measureMicroseconds } from './timing.js'

export interface MessageCost {
  readonly bytes: number
  readonly encodeMicroseconds: number
  readonly decodeMicroseconds: number
}

const keys = KeyRing.create([{ id: 'k1', secret: 'a secret for measurements', permissions: [Permission.Join] }])

export function createEntry (index: number): MemberEntry {
  const address = `10.20.${index >> 8}.${index & 255}:7000`
  return { name: `entry-${index}`, address, controlAddress: address, failureDomain: `domain-${index % 7}`, incarnation: 1_790_000_000_000 + index, state: MemberState.Alive }
}

export function createFact (index: number): Fact {
  return { source: `entry-${index}`, kind: FactKind.AccountDemand, key: `account-${index}`, version: 1_790_000_000_000, deadline: 1_790_000_010_000, value: [1234, 56] }
}

export function createTestMessage (entries: number, facts: number): Message {
  return createMessage({
    sender: 'entry-123',
    incarnation: 1_790_000_000_000,
    sequence: 100_000,
    sentAt: 1_790_000_000_000,
    position: { revision: 123_456, offset: 123_999, digest: '0123abcd' },
    tableDigest: 4_000_000_000,
    entries: Array.from({ length: entries }, (_, index) => createEntry(index)),
    facts: Array.from({ length: facts }, (_, index) => createFact(index))
  })
}

export function countMessageBytes (message: Message): number {
  return seal(keys, Permission.Join, encodeMessage(message)).length + HEADER_BYTES
}

export function measureMessage (entries: number, facts: number): MessageCost {
  const message = createTestMessage(entries, facts)
  const sealed = seal(keys, Permission.Join, encodeMessage(message))
  return {
    bytes: sealed.length + HEADER_BYTES,
    encodeMicroseconds: measureMicroseconds(() => { seal(keys, Permission.Join, encodeMessage(message)) }),
    decodeMicroseconds: measureMicroseconds(() => { open(keys, Permission.Join, sealed).chain(decodeMessage).extract() })
  }
}
