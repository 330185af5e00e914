/**
 * Notice that an instance sends to the others after each read of the platform's
 * store: its read positions and the new records. It is sent more than once a
 * second, so it is kept small: positional arrays.
 */
import { Maybe } from 'purify-ts'
import type { KeyedRecord } from '../knowledge/keyedLog.js'
import { DatagramKind, packDatagram } from './datagram.js'
import { AnnouncedTopic } from './announcedTopic.js'

/** Up to which offset a topic was read. */
export interface ReadPosition {
  /** The sender knows everything before this offset. */
  readonly position: number
  /** No record from this offset on changed anything. */
  readonly changed: number
}

/** Records that are new to an instance that knows everything before the offset `from`. */
export interface NewRecords {
  readonly topic: AnnouncedTopic
  readonly from: number
  readonly records: readonly KeyedRecord[]
}

export interface ReadNotice {
  readonly address: string
  /** Whether the sender's knowledge of the servers' entries is current. */
  readonly isFresh: boolean
  /** Whether the sender waits at the store for operators' changes. */
  readonly isWatching: boolean
  readonly positions: Readonly<Record<AnnouncedTopic, ReadPosition>>
  readonly newRecords: NewRecords | undefined
}

/** Maximum size of new records in a notice, bytes. Larger ones are fetched by a call, because a datagram that exceeds a frame is lost more often. */
const MAX_NEW_RECORDS_BYTES = 1100

/** Returns the new records if they fit into a datagram. */
export function limitNewRecords (newRecords: NewRecords): NewRecords | undefined {
  const bytes = newRecords.records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
  return bytes <= MAX_NEW_RECORDS_BYTES ? newRecords : undefined
}

/** `changed` is close to `position`, so their difference takes fewer bytes than a second offset. */
function packPosition ({ position, changed }: ReadPosition): [position: number, unchanged: number] {
  return [position, position - changed]
}

function readPosition (position: number, unchanged: number): ReadPosition {
  return { position, changed: position - unchanged }
}

export function encodeReadNotice ({ address, isFresh, isWatching, positions, newRecords }: ReadNotice): Buffer {
  const { operators, servers } = positions
  return packDatagram([
    DatagramKind.ReadNotice, address, isFresh, isWatching, ...packPosition(operators), ...packPosition(servers),
    newRecords === undefined ? null : [newRecords.topic, newRecords.from, newRecords.records.map(({ key, value, offset }) => [key, value ?? null, offset])]
  ])
}

type Wire = readonly [
  number, string, boolean, boolean, number, number, number, number,
  readonly [AnnouncedTopic, number, ReadonlyArray<readonly [string, Uint8Array | null, number]>] | null
]

const TYPES = ['number', 'string', 'boolean', 'boolean', 'number', 'number', 'number', 'number']

function nameOfType (value: unknown): string {
  return typeof value
}

function isWire (value: readonly unknown[]): value is Wire {
  return value[0] === DatagramKind.ReadNotice && TYPES.every((type, index) => nameOfType(value[index]) === type)
}

/** Nothing for a datagram of another form. */
export function readReadNotice (datagram: readonly unknown[]): Maybe<ReadNotice> {
  return Maybe.of(datagram).filter(isWire).chain(wire => Maybe.encase(() => {
    const [, address, isFresh, isWatching, operators, operatorsUnchanged, servers, serversUnchanged, newRecords] = wire
    return {
      address,
      isFresh,
      isWatching,
      positions: {
        [AnnouncedTopic.Operators]: readPosition(operators, operatorsUnchanged),
        [AnnouncedTopic.Servers]: readPosition(servers, serversUnchanged)
      },
      newRecords: newRecords === null
        ? undefined
        : {
            topic: newRecords[0],
            from: newRecords[1],
            records: newRecords[2].map(([key, value, offset]) => ({ key, offset, value: value === null ? undefined : Buffer.from(value) }))
          }
    }
  }))
}
