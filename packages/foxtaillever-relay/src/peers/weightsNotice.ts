/** Engines' weights as the one who orders them tells everyone: apart from beats, so that it is small, by position. */
import { Packr } from 'msgpackr'
import { Maybe } from 'purify-ts'
import type { WeightsNews } from './peerMessage.js'

/** First element of the array; other messages begin with a text or another number. */
const KIND = 5

const packr = new Packr({ useRecords: false })

type WireNews = readonly [string, string, number, number]

export function encodeWeightsNotice (news: readonly WeightsNews[]): Buffer {
  return packr.pack([KIND, news.map(({ server, model, version, changingMs }) => [server, model, version, Math.round(changingMs)])])
}

function isNews (value: unknown): value is WireNews {
  return Array.isArray(value) && typeof value[0] === 'string' && typeof value[1] === 'string' && typeof value[2] === 'number' && typeof value[3] === 'number'
}

/** Nothing for bytes of another form. */
export function decodeWeightsNotice (bytes: Uint8Array): Maybe<WeightsNews[]> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown)
    .filter((wire): wire is [number, WireNews[]] => Array.isArray(wire) && wire[0] === KIND && Array.isArray(wire[1]) && wire[1].every(isNews))
    .map(([, news]) => news.map(([server, model, version, changingMs]) => ({ server, model, version, changingMs })))
}
