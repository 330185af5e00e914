/**
 * Announcement of weight changes of many engines at once by the instance that
 * orders them. A heartbeat names every server that its sender uses: one heartbeat
 * for each of forty engines to each of seventy instances would fill a link of
 * 7 Mbit/s for seconds, and announcements would be lost or late. A notice of
 * twelve engines has some 250 bytes.
 */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from './datagram.js'
import type { LeaseUpdate, WeightsUpdate } from './peerMessage.js'

/** Maximum number of engines in one notice; more would not fit into an Ethernet frame. */
export const MAX_ENGINES_IN_NOTICE = 32

export interface WeightsNotice {
  readonly updates: readonly WeightsUpdate[]
  /** The newest record of the lease that the sender knows. */
  readonly lease: LeaseUpdate | undefined
}

type Wire = readonly [DatagramKind, ReadonlyArray<readonly [number, string, number, number]>, readonly [number, string, number] | null]

export function encodeWeightsNotice ({ updates, lease }: WeightsNotice): Buffer {
  return packDatagram([
    DatagramKind.Weights,
    updates.map(({ server, model, version, changingMs }) => [server, model, version, Math.round(changingMs)]),
    lease === undefined ? null : [lease.offset, lease.holder, Math.round(lease.ageMs)]
  ])
}

function isWire (value: readonly unknown[]): value is Wire {
  return value[0] === DatagramKind.Weights && Array.isArray(value[1]) && value[1].every(isUpdate) && (value[2] === null || isLease(value[2]))
}

function isUpdate (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'number' && typeof value[1] === 'string' && typeof value[2] === 'number' && typeof value[3] === 'number'
}

function isLease (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'number' && typeof value[1] === 'string' && typeof value[2] === 'number'
}

/** Nothing for a datagram of another form. */
export function readWeightsNotice (wire: readonly unknown[]): Maybe<WeightsNotice> {
  return Maybe.of(wire).filter(isWire).map(([, updates, lease]) => ({
    updates: updates.map(([server, model, version, changingMs]) => ({ server, model, version, changingMs })),
    lease: lease === null ? undefined : { offset: lease[0], holder: lease[1], ageMs: lease[2] }
  }))
}
