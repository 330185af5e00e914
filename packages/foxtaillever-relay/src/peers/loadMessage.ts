/** What instances of a large fleet tell and ask each other about load, by datagram: arrays by position, servers by hash. */
import { Packr } from 'msgpackr'
import { Maybe } from 'purify-ts'
import type { ServerUse } from './peerMessage.js'

/** First element of the array; other messages begin with a text or another number. */
export enum LoadMessageKind {
  Word = 11,
  Question = 12,
  Answer = 13
}

/** What one instance puts on servers that the receiver watches; replaces its earlier words on these. */
export interface LoadWord {
  readonly kind: LoadMessageKind.Word
  readonly address: string
  readonly loads: readonly ServerUse[]
}

/** What do all others put on these servers? */
export interface LoadQuestion {
  readonly kind: LoadMessageKind.Question
  readonly address: string
  readonly number: number
  readonly servers: readonly number[]
}

export interface LoadAnswer {
  readonly kind: LoadMessageKind.Answer
  readonly address: string
  readonly number: number
  readonly loads: readonly ServerUse[]
}

export type LoadMessage = LoadWord | LoadQuestion | LoadAnswer

const packr = new Packr({ useRecords: false })

type WireLoad = readonly [number, number, number, number]

const packLoad = ({ server, outstanding, tokens, heldTokens }: ServerUse): WireLoad => [server, outstanding, tokens, heldTokens]
const readLoad = ([server, outstanding, tokens, heldTokens]: WireLoad): ServerUse => ({ server, outstanding, tokens, heldTokens })

export function encodeLoadMessage (message: LoadMessage): Buffer {
  const { kind, address } = message
  switch (kind) {
    case LoadMessageKind.Word: return packr.pack([kind, address, message.loads.map(packLoad)])
    case LoadMessageKind.Question: return packr.pack([kind, address, message.number, message.servers])
    case LoadMessageKind.Answer: return packr.pack([kind, address, message.number, message.loads.map(packLoad)])
  }
}

const readers: Readonly<Record<LoadMessageKind, (address: string, rest: readonly unknown[]) => LoadMessage>> = {
  [LoadMessageKind.Word]: (address, [loads]) => ({ kind: LoadMessageKind.Word, address, loads: (loads as WireLoad[]).map(readLoad) }),
  [LoadMessageKind.Question]: (address, [number, servers]) => ({ kind: LoadMessageKind.Question, address, number: Number(number), servers: (servers as unknown[]).map(Number) }),
  [LoadMessageKind.Answer]: (address, [number, loads]) => ({ kind: LoadMessageKind.Answer, address, number: Number(number), loads: (loads as WireLoad[]).map(readLoad) })
}

/** Nothing for bytes of another form. */
export function decodeLoadMessage (bytes: Uint8Array): Maybe<LoadMessage> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown)
    .filter((wire): wire is [LoadMessageKind, string, ...unknown[]] => Array.isArray(wire) && readers[wire[0] as LoadMessageKind] !== undefined && typeof wire[1] === 'string')
    .chain(([kind, address, ...rest]) => Maybe.encase(() => readers[kind](address, rest)))
}
