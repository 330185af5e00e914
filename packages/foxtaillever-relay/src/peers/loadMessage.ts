/** Datagrams with which instances of a large fleet report and query load: positional arrays, servers by hash. */
import { Maybe } from 'purify-ts'
import { DatagramKind, packDatagram } from './datagram.js'
import type { ServerLoadEntry, WatchedServerEntry } from './peerMessage.js'
import { packSpeed, readSpeed, type SpeedFields } from './speedFields.js'
import type { SpeedSample } from './watchedSpeeds.js'

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
  /** First events at servers that the receiver watches, since the sender's last report to it. */
  readonly samples: readonly SpeedSample[]
}

/** Where a request would be queued for admission. */
export interface QueuePosition {
  /** 0 is the most urgent. */
  readonly priority: number
  /** Client account; empty for none. */
  readonly account: string
}

/** Asks for the load that all other instances put on these servers. */
export interface LoadRequest {
  readonly kind: DatagramKind.LoadRequest
  readonly address: string
  readonly number: number
  readonly servers: readonly number[]
  /** Prompt levels whose home is one of the servers; asks whether they were saved recently. */
  readonly levels: readonly number[]
  /** Of the request that needs a server: the response counts what is queued for admission before it. Undefined for none of it. */
  readonly position?: QueuePosition | undefined
}

export interface LoadResponse {
  readonly kind: DatagramKind.LoadResponse
  readonly address: string
  readonly number: number
  readonly loads: readonly WatchedServerEntry[]
  /** The servers among these that several instances recently could not reach. */
  readonly unreachable: readonly number[]
  /** The levels among these that were saved recently. */
  readonly saved: readonly number[]
  /** The servers among these that recently asked any instance to back off. */
  readonly backingOff: readonly number[]
}

export type LoadMessage = ServerLoadReport | LoadRequest | LoadResponse

type WireLoad = readonly [number, number, number, number]
type WireWatched = readonly [...WireLoad, ...SpeedFields]
type WireSample = readonly [number, number, number]

const packLoad = ({ server, outstanding, tokens, heldTokens }: ServerLoadEntry): WireLoad => [server, outstanding, tokens, heldTokens]
const readNumbers = (wire: unknown = []): number[] => (wire as unknown[]).map(Number)
const readLoad = ([server, outstanding, tokens, heldTokens]: WireLoad): ServerLoadEntry => ({ server, outstanding, tokens, heldTokens })

const packWatched = (entry: WatchedServerEntry): WireWatched => [...packLoad(entry), ...packSpeed(entry.speed)]
const readWatched = ([server, outstanding, tokens, heldTokens, ...speed]: WireWatched): WatchedServerEntry => ({ server, outstanding, tokens, heldTokens, speed: readSpeed(speed) })

/**
 * A list of samples is the last element of a report; absent when there are none. Their
 * servers are mostly among those of the loads: -1 is the first of these, and so on.
 */
function packSamples ({ loads, samples }: ServerLoadReport): WireSample[][] {
  const positions = new Map(loads.map(({ server }, index) => [server, -1 - index]))
  return samples.length === 0 ? [] : [samples.map(({ server, tokens, ms }) => [positions.get(server) ?? server, tokens, ms])]
}

function readSamples (wire: unknown = [], loads: readonly ServerLoadEntry[]): SpeedSample[] {
  return (wire as WireSample[])
    .map(([server, tokens, ms]) => ({ server: server < 0 ? loads[-1 - server]?.server ?? 0 : server, tokens, ms }))
    .filter(({ tokens, ms }) => Number.isFinite(tokens) && Number.isFinite(ms))
}

function readPosition ([priority, account]: readonly unknown[]): QueuePosition | undefined {
  return Number.isFinite(priority) && typeof account === 'string' ? { priority: priority as number, account } : undefined
}

export function encodeLoadMessage (message: LoadMessage): Buffer {
  const { kind, address } = message
  switch (kind) {
    case DatagramKind.ServerLoadReport: return packDatagram([kind, address, message.loads.map(packLoad), message.unreachable, message.saved, message.backingOff, ...packSamples(message)])
    case DatagramKind.LoadRequest: return packDatagram([kind, address, message.number, message.servers, message.levels, ...(message.position === undefined ? [] : [message.position.priority, message.position.account])])
    case DatagramKind.LoadResponse: return packDatagram([kind, address, message.number, message.loads.map(packWatched), message.unreachable, message.saved, message.backingOff])
  }
}

const readers: Readonly<Record<LoadMessageKind, (address: string, rest: readonly unknown[]) => LoadMessage>> = {
  [DatagramKind.ServerLoadReport]: (address, [wireLoads, unreachable, saved, backingOff, samples]) => {
    const loads = (wireLoads as WireLoad[]).map(readLoad)
    return { kind: DatagramKind.ServerLoadReport, address, loads, unreachable: readNumbers(unreachable), saved: readNumbers(saved), backingOff: readNumbers(backingOff), samples: readSamples(samples, loads) }
  },
  [DatagramKind.LoadRequest]: (address, [number, servers, levels, ...position]) => ({ kind: DatagramKind.LoadRequest, address, number: Number(number), servers: readNumbers(servers), levels: readNumbers(levels), position: readPosition(position) }),
  [DatagramKind.LoadResponse]: (address, [number, loads, unreachable, saved, backingOff]) => ({ kind: DatagramKind.LoadResponse, address, number: Number(number), loads: (loads as WireWatched[]).map(readWatched), unreachable: readNumbers(unreachable), saved: readNumbers(saved), backingOff: readNumbers(backingOff) })
}

/** Nothing for a datagram of another form. */
export function readLoadMessage (wire: readonly unknown[]): Maybe<LoadMessage> {
  const [kind, address, ...rest] = wire as readonly [LoadMessageKind, unknown, ...unknown[]]
  return Maybe.fromNullable(readers[kind])
    .filter(() => typeof address === 'string')
    .chain(read => Maybe.encase(() => read(address as string, rest)))
}
