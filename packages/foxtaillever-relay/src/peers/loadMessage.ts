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
  /** Servers that took no connection from it a moment ago. */
  readonly unreachable: readonly number[]
  /** Prompt levels, at home at a server that the receiver watches, that it had saved to their store. */
  readonly saved: readonly number[]
  /** Servers that asked it for rest a moment ago. */
  readonly resting: readonly number[]
}

/** What do all others put on these servers? */
export interface LoadQuestion {
  readonly kind: DatagramKind.LoadQuestion
  readonly address: string
  readonly number: number
  readonly servers: readonly number[]
  /** Prompt levels at home at one of the servers: were they saved of late? */
  readonly levels: readonly number[]
}

export interface LoadAnswer {
  readonly kind: DatagramKind.LoadAnswer
  readonly address: string
  readonly number: number
  readonly loads: readonly ServerUse[]
  /** Those of the servers that several instances could not reach of late. */
  readonly unreachable: readonly number[]
  /** Those of the levels that were saved of late. */
  readonly saved: readonly number[]
  /** Those of the servers that asked any instance for rest of late. */
  readonly resting: readonly number[]
}

export type LoadMessage = LoadWord | LoadQuestion | LoadAnswer

type WireLoad = readonly [number, number, number, number]

const packLoad = ({ server, outstanding, tokens, heldTokens }: ServerUse): WireLoad => [server, outstanding, tokens, heldTokens]
const readNumbers = (wire: unknown = []): number[] => (wire as unknown[]).map(Number)
const readLoad = ([server, outstanding, tokens, heldTokens]: WireLoad): ServerUse => ({ server, outstanding, tokens, heldTokens })

export function encodeLoadMessage (message: LoadMessage): Buffer {
  const { kind, address } = message
  switch (kind) {
    case DatagramKind.LoadWord: return packDatagram([kind, address, message.loads.map(packLoad), message.unreachable, message.saved, message.resting])
    case DatagramKind.LoadQuestion: return packDatagram([kind, address, message.number, message.servers, message.levels])
    case DatagramKind.LoadAnswer: return packDatagram([kind, address, message.number, message.loads.map(packLoad), message.unreachable, message.saved, message.resting])
  }
}

const readers: Readonly<Record<LoadMessageKind, (address: string, rest: readonly unknown[]) => LoadMessage>> = {
  [DatagramKind.LoadWord]: (address, [loads, unreachable, saved, resting]) => ({ kind: DatagramKind.LoadWord, address, loads: (loads as WireLoad[]).map(readLoad), unreachable: readNumbers(unreachable), saved: readNumbers(saved), resting: readNumbers(resting) }),
  [DatagramKind.LoadQuestion]: (address, [number, servers, levels]) => ({ kind: DatagramKind.LoadQuestion, address, number: Number(number), servers: readNumbers(servers), levels: readNumbers(levels) }),
  [DatagramKind.LoadAnswer]: (address, [number, loads, unreachable, saved, resting]) => ({ kind: DatagramKind.LoadAnswer, address, number: Number(number), loads: (loads as WireLoad[]).map(readLoad), unreachable: readNumbers(unreachable), saved: readNumbers(saved), resting: readNumbers(resting) })
}

/** Nothing for a datagram of another form. */
export function readLoadMessage (wire: readonly unknown[]): Maybe<LoadMessage> {
  const [kind, address, ...rest] = wire as readonly [LoadMessageKind, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string')
    .chain(read => Maybe.encase(() => read(address as string, rest)))
}
