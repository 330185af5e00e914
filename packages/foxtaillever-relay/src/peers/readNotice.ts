/**
 * What an instance tells the others after each of its readings of the platform's
 * store: how far it is, and what is new. Small, because it goes out more than
 * once a second: arrays by position.
 */
import { Maybe } from 'purify-ts'
import type { KeyedRecord } from '../knowledge/keyedLog.js'
import { DatagramKind, packDatagram } from './datagram.js'
import { ToldTopic } from './toldTopic.js'

/** How far a topic was read. */
export interface ReadPosition {
  /** Everything before this offset is known to the teller. */
  readonly position: number
  /** No record from this offset on said anything new. */
  readonly changed: number
}

/** Records that are new to one who knows everything before an offset. */
export interface ToldNews {
  readonly topic: ToldTopic
  readonly from: number
  readonly records: readonly KeyedRecord[]
}

export interface ReadNotice {
  readonly address: string
  /** The servers' entries are known as of now. */
  readonly isFresh: boolean
  /** The teller waits at the store for operators' changes. */
  readonly isWatching: boolean
  readonly positions: Readonly<Record<ToldTopic, ReadPosition>>
  readonly news: ToldNews | undefined
}

/** Records beyond this are asked for instead: a datagram of more than a frame is lost more often, bytes. */
const MOST_NEWS_BYTES = 1100

/** The news, if they fit into a datagram. */
export function limitNews (news: ToldNews): ToldNews | undefined {
  const bytes = news.records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
  return bytes <= MOST_NEWS_BYTES ? news : undefined
}

/** Only a little is new before a position, so the difference takes fewer bytes than a second one. */
function packPosition ({ position, changed }: ReadPosition): [position: number, unchanged: number] {
  return [position, position - changed]
}

function readPosition (position: number, unchanged: number): ReadPosition {
  return { position, changed: position - unchanged }
}

export function encodeReadNotice ({ address, isFresh, isWatching, positions, news }: ReadNotice): Buffer {
  const { operators, servers } = positions
  return packDatagram([
    DatagramKind.ReadNotice, address, isFresh, isWatching, ...packPosition(operators), ...packPosition(servers),
    news === undefined ? null : [news.topic, news.from, news.records.map(({ key, value, offset }) => [key, value ?? null, offset])]
  ])
}

type Wire = readonly [
  number, string, boolean, boolean, number, number, number, number,
  readonly [ToldTopic, number, ReadonlyArray<readonly [string, Uint8Array | null, number]>] | null
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
    const [, address, isFresh, isWatching, operators, operatorsUnchanged, servers, serversUnchanged, news] = wire
    return {
      address,
      isFresh,
      isWatching,
      positions: {
        [ToldTopic.Operators]: readPosition(operators, operatorsUnchanged),
        [ToldTopic.Servers]: readPosition(servers, serversUnchanged)
      },
      news: news === null
        ? undefined
        : {
            topic: news[0],
            from: news[1],
            records: news[2].map(([key, value, offset]) => ({ key, offset, value: value === null ? undefined : Buffer.from(value) }))
          }
    }
  }))
}
