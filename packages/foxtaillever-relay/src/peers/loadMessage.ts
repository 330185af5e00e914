/** Datagrams with which instances of a large fleet report and query load: positional arrays, servers by hash. */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from './datagram.js'
import type { ServerLoadEntry } from './peerMessage.js'

export type LoadMessageKind = DatagramKind.ServerLoadReport | DatagramKind.LoadRequest | DatagramKind.LoadResponse

/** Load that the sender puts on servers that the receiver watches; replaces its earlier reports on these servers. */
export interface ServerLoadReport {
  readonly kind: DatagramKind.ServerLoadReport
  readonly address: string
  readonly loads: readonly ServerLoadEntry[]
  /** Servers that recently accepted no connection from the sender. */
  readonly unreachable: readonly number[]
  /** Prompt levels that the sender had saved to their store; their home is a server that the receiver watches. */
  readonly saved: readonly number[]
  /** Servers that recently asked the sender to back off. */
  readonly backingOff: readonly number[]
}

/** Asks for the load that all other instances put on these servers. */
export interface LoadRequest {
  readonly kind: DatagramKind.LoadRequest
  readonly address: string
  readonly number: number
  readonly servers: readonly number[]
  /** Prompt levels whose home is one of the servers; asks whether they were saved recently. */
  readonly levels: readonly number[]
  /** Of the request that needs a server: the response counts what is queued for admission at this priority or a more urgent one. Undefined for none of it. */
  readonly priority?: number | undefined
}

export interface LoadResponse {
  readonly kind: DatagramKind.LoadResponse
  readonly address: string
  readonly number: number
  readonly loads: readonly ServerLoadEntry[]
  /** The servers among these that several instances recently could not reach. */
  readonly unreachable: readonly number[]
  /** The levels among these that were saved recently. */
  readonly saved: readonly number[]
  /** The servers among these that recently asked any instance to back off. */
  readonly backingOff: readonly number[]
  /** The servers among these at which requests are queued for admission. */
  readonly queued: readonly number[]
}

export type LoadMessage = ServerLoadReport | LoadRequest | LoadResponse

type WireLoad = readonly [number, number, number, number]

const packLoad = ({ server, outstanding, tokens, heldTokens }: ServerLoadEntry): WireLoad => [server, outstanding, tokens, heldTokens]
const readNumbers = (wire: unknown = []): number[] => (wire as unknown[]).map(Number)
const readLoad = ([server, outstanding, tokens, heldTokens]: WireLoad): ServerLoadEntry => ({ server, outstanding, tokens, heldTokens })

export function encodeLoadMessage (message: LoadMessage): Buffer {
  const { kind, address } = message
  switch (kind) {
    case DatagramKind.ServerLoadReport: return packDatagram([kind, address, message.loads.map(packLoad), message.unreachable, message.saved, message.backingOff])
    case DatagramKind.LoadRequest: return packDatagram([kind, address, message.number, message.servers, message.levels, ...(message.priority === undefined ? [] : [message.priority])])
    case DatagramKind.LoadResponse: return packDatagram([kind, address, message.number, message.loads.map(packLoad), message.unreachable, message.saved, message.backingOff, ...(message.queued.length > 0 ? [message.queued] : [])])
  }
}

const readers: Readonly<Record<LoadMessageKind, (address: string, rest: readonly unknown[]) => LoadMessage>> = {
  [DatagramKind.ServerLoadReport]: (address, [loads, unreachable, saved, backingOff]) => ({ kind: DatagramKind.ServerLoadReport, address, loads: (loads as WireLoad[]).map(readLoad), unreachable: readNumbers(unreachable), saved: readNumbers(saved), backingOff: readNumbers(backingOff) }),
  [DatagramKind.LoadRequest]: (address, [number, servers, levels, priority]) => ({ kind: DatagramKind.LoadRequest, address, number: Number(number), servers: readNumbers(servers), levels: readNumbers(levels), priority: Number.isFinite(priority) ? priority as number : undefined }),
  [DatagramKind.LoadResponse]: (address, [number, loads, unreachable, saved, backingOff, queued]) => ({ kind: DatagramKind.LoadResponse, address, number: Number(number), loads: (loads as WireLoad[]).map(readLoad), unreachable: readNumbers(unreachable), saved: readNumbers(saved), backingOff: readNumbers(backingOff), queued: readNumbers(queued) })
}

/** Nothing for a datagram of another form. */
export function readLoadMessage (wire: readonly unknown[]): Maybe<LoadMessage> {
  const [kind, address, ...rest] = wire as readonly [LoadMessageKind, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string')
    .chain(read => Maybe.encase(() => read(address as string, rest)))
}
