/**
 * What the one who gives orders tells of many engines at once. A beat names every
 * server that its sender uses: sent for each engine of forty to each instance of
 * seventy, it would keep a link of 7 Mbit/s full for seconds, and what is told
 * would be lost or late. One notice of twelve engines has some 250 bytes.
 */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from './datagram.js'
import type { LeaseNews, WeightsNews } from './peerMessage.js'

/** Engines in one notice; more would not fit into a frame. */
export const MOST_IN_NOTICE = 32

export interface WeightsNotice {
  readonly news: readonly WeightsNews[]
  /** The newest record of the lease that the teller knows. */
  readonly lease: LeaseNews | undefined
}

type Wire = readonly [DatagramKind, ReadonlyArray<readonly [number, string, number, number]>, readonly [number, string, number] | null]

export function encodeWeightsNotice ({ news, lease }: WeightsNotice): Buffer {
  return packDatagram([
    DatagramKind.Weights,
    news.map(({ server, model, version, changingMs }) => [server, model, version, Math.round(changingMs)]),
    lease === undefined ? null : [lease.offset, lease.holder, Math.round(lease.ageMs)]
  ])
}

function isWire (value: readonly unknown[]): value is Wire {
  return value[0] === DatagramKind.Weights && Array.isArray(value[1]) && value[1].every(isNews) && (value[2] === null || isLease(value[2]))
}

function isNews (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'number' && typeof value[1] === 'string' && typeof value[2] === 'number' && typeof value[3] === 'number'
}

function isLease (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'number' && typeof value[1] === 'string' && typeof value[2] === 'number'
}

/** Nothing for a datagram of another form. */
export function readWeightsNotice (wire: readonly unknown[]): Maybe<WeightsNotice> {
  return Maybe.of(wire).filter(isWire).map(([, news, lease]) => ({
    news: news.map(([server, model, version, changingMs]) => ({ server, model, version, changingMs })),
    lease: lease === null ? undefined : { offset: lease[0], holder: lease[1], ageMs: lease[2] }
  }))
}
