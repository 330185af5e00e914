/**
 * What the one who gives orders tells of many engines at once. A beat names every
 * server that its sender uses: sent for each engine of forty to each instance of
 * seventy, it would keep a link of 7 Mbit/s full for seconds, and what is told
 * would be lost or late. One notice of twelve engines has some 250 bytes.
 */
import { Packr } from 'msgpackr'
import { Maybe } from 'purify-ts'
import type { WeightsNews } from './peerMessage.js'

/** First element of the array; other messages begin with a text or another number. */
const KIND = 2

/** Engines in one notice; more would not fit into a frame. */
export const MOST_IN_NOTICE = 32

const packr = new Packr({ useRecords: false })

type Wire = readonly [number, ReadonlyArray<readonly [string, string, number, number]>]

export function encodeWeightsNotice (news: readonly WeightsNews[]): Buffer {
  return packr.pack([KIND, news.map(({ server, model, version, changingMs }) => [server, model, version, Math.round(changingMs)])])
}

function isWire (value: unknown): value is Wire {
  return Array.isArray(value) && value[0] === KIND && Array.isArray(value[1]) && value[1].every(isNews)
}

function isNews (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'string' && typeof value[1] === 'string' && typeof value[2] === 'number' && typeof value[3] === 'number'
}

/** Nothing for bytes of another form. */
export function decodeWeightsNotice (bytes: Uint8Array): Maybe<readonly WeightsNews[]> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown).filter(isWire).map(([, news]) =>
    news.map(([server, model, version, changingMs]) => ({ server, model, version, changingMs })))
}
