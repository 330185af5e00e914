/** What instances of a large fleet tell and ask each other about load, by datagram: arrays by position, servers by hash. */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from './datagram.js'
import type { ServerUse } from './peerMessage.js'

export type LoadMessageKind = DatagramKind.LoadWord | DatagramKind.LoadQuestion | DatagramKind.LoadAnswer

/** What one instance puts on servers that the receiver watches; replaces its earlier words on these. */
export interface LoadWord {
  readonly kind: DatagramKind.LoadWord
  readonly address: string
  readonly loads: readonly ServerUse[]
}

/** What do all others put on these servers? */
export interface LoadQuestion {
  readonly kind: DatagramKind.LoadQuestion
  readonly address: string
  readonly number: number
  readonly servers: readonly number[]
}

export interface LoadAnswer {
  readonly kind: DatagramKind.LoadAnswer
  readonly address: string
  readonly number: number
  readonly loads: readonly ServerUse[]
}

export type LoadMessage = LoadWord | LoadQuestion | LoadAnswer

type WireLoad = readonly [number, number, number, number]

const packLoad = ({ server, outstanding, tokens, heldTokens }: ServerUse): WireLoad => [server, outstanding, tokens, heldTokens]
const readLoad = ([server, outstanding, tokens, heldTokens]: WireLoad): ServerUse => ({ server, outstanding, tokens, heldTokens })

export function encodeLoadMessage (message: LoadMessage): Buffer {
  const { kind, address } = message
  switch (kind) {
    case DatagramKind.LoadWord: return packDatagram([kind, address, message.loads.map(packLoad)])
    case DatagramKind.LoadQuestion: return packDatagram([kind, address, message.number, message.servers])
    case DatagramKind.LoadAnswer: return packDatagram([kind, address, message.number, message.loads.map(packLoad)])
  }
}

const readers: Readonly<Record<LoadMessageKind, (address: string, rest: readonly unknown[]) => LoadMessage>> = {
  [DatagramKind.LoadWord]: (address, [loads]) => ({ kind: DatagramKind.LoadWord, address, loads: (loads as WireLoad[]).map(readLoad) }),
  [DatagramKind.LoadQuestion]: (address, [number, servers]) => ({ kind: DatagramKind.LoadQuestion, address, number: Number(number), servers: (servers as unknown[]).map(Number) }),
  [DatagramKind.LoadAnswer]: (address, [number, loads]) => ({ kind: DatagramKind.LoadAnswer, address, number: Number(number), loads: (loads as WireLoad[]).map(readLoad) })
}

/** Nothing for a datagram of another form. */
export function readLoadMessage (wire: readonly unknown[]): Maybe<LoadMessage> {
  const [kind, address, ...rest] = wire as readonly [LoadMessageKind, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string')
    .chain(read => Maybe.encase(() => read(address as string, rest)))
}
