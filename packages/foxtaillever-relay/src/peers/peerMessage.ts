/** What an instance reports about itself to the others with each heartbeat, by datagram. */
import { LinkState } from 'foxtaillever-policy/relay/brokenLinks'
import type { SpeedReport } from 'foxtaillever-policy/relay/prefillSpeed'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ObservedSpeed } from 'foxtaillever-policy/relay/serverSpeed'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import { Maybe } from 'purify-ts'
import { packQuarantine, readQuarantines, type QuarantineUpdate } from '../crashes/crashMessage.js'
import { packDatagram } from './datagram.js'
import { packSpeed, readSpeed, type SpeedFields } from './speedFields.js'

/** Up to which offset an instance knows each topic. */
export interface Positions {
  readonly operators: number
  readonly servers: number
}

/** Load on a backend server. */
export interface ServerLoadEntry extends ServerLoad {
  /** Hash of its incarnation, or of the address of a store of cached levels. */
  readonly server: number
}

/** Load of all instances on a backend server, and its reading speed, from a watcher of the server. */
export interface WatchedServerEntry extends ServerLoadEntry {
  /** Undefined where the service's speed applies. */
  readonly speed?: ObservedSpeed | undefined
}

/** An engine's weights, as known to the instance that orders them. */
export interface WeightsUpdate {
  /** Hash of its incarnation. */
  readonly server: number
  readonly model: string
  /** The version that the engine has, or will have after the change. */
  readonly version: number
  /** Milliseconds for which the engine accepts no new requests; 0 once it has the version. */
  readonly changingMs: number
}

/** Weights named by operators. */
export interface NamedWeightsUpdate {
  readonly model: string
  readonly version: number
  /** Milliseconds since the sender learned of them. */
  readonly ageMs: number
}

/** Engines that have the newest weights, as far as the sender knows. */
export interface CurrentEngines {
  readonly model: string
  readonly version: number
  /** Hashes of their incarnations: 5 bytes each, 210 for 42 engines. */
  readonly engines: readonly number[]
}

/** The newest record of the lease that is known. */
export interface LeaseUpdate {
  readonly offset: number
  readonly holder: string
  /** Milliseconds since it was appended, at most. */
  readonly ageMs: number
}

/** How fast the engines of a service read prompts, as the sender observed. */
export interface SpeedUpdate extends SpeedReport {
  readonly service: string
}

/** What a backend server last stated about its limit, as far as the sender knows. */
export interface LimitUpdate {
  /** Hash of its incarnation. */
  readonly server: number
  /** Requests a second from all instances together; undefined once the server states no limit. */
  readonly perSecond: number | undefined
  /** Milliseconds since it was stated. */
  readonly ageMs: number
}

export interface PeerMessage {
  readonly name: string
  /** IP address and port for datagrams and calls. */
  readonly address: string
  readonly failureDomain: string
  /** Start of the process, milliseconds of Unix time. */
  readonly startedAt: number
  readonly isLeaving: boolean
  /** Whether the platform's store answers the sender. */
  readonly hasStore: boolean
  readonly positions: Positions
  /** Revision of the configuration in force at the sender; -1 before the first. */
  readonly revision: number
  readonly lease: LeaseUpdate | undefined
  /** Load that the sender itself puts on servers; in a large fleet only on the store of cached levels. */
  readonly loads: readonly ServerLoadEntry[]
  /** Load of all instances on the servers that the sender watches for the fleet. */
  readonly sums: readonly WatchedServerEntry[]
  /** When weights were named: the store keeps only the newest, without the time at which they were named. */
  readonly named: readonly NamedWeightsUpdate[]
  /** What is known to crash backend servers. */
  readonly quarantines: readonly QuarantineUpdate[]
  /** Hashes of prompt levels that the sender recently had saved to the store of cached levels. */
  readonly savedLevels: readonly number[]
  readonly current: readonly CurrentEngines[]
  /** Reachability of the stores of cached levels that the sender watches. */
  readonly stores: readonly StoreReport[]
  /** Speeds of services that the sender has observed enough, for instances that have just started. */
  readonly speeds: readonly SpeedUpdate[]
  readonly limits: readonly LimitUpdate[]
  /** Rejections a second that servers state they can bear. */
  readonly brittle: readonly LimitUpdate[]
  /** How much of the servers the sender reaches over its own links. */
  readonly links: LinkState
  /** By how much the sender's event loop is late, milliseconds. */
  readonly delayMs: number
  /** Number of instances that the sender counts, itself included; an instance that has just started knows few by itself. */
  readonly instances: number
}

export function encodePeerMessage (message: PeerMessage): Buffer {
  const { name, address, failureDomain, startedAt, isLeaving, hasStore, positions, lease, loads, quarantines, savedLevels, named, current, sums, stores, instances, speeds, limits, revision, links, brittle, delayMs } = message
  return packDatagram([
    name, address, failureDomain, startedAt, isLeaving, hasStore, positions.operators, positions.servers,
    lease === undefined ? null : [lease.offset, lease.holder, Math.round(lease.ageMs)],
    loads.map(packLoad),
    quarantines.map(packQuarantine),
    savedLevels,
    named.map(({ model, version, ageMs }) => [model, version, Math.round(ageMs)]),
    current.map(({ model, version, engines }) => [model, version, engines]),
    sums.map(packSum),
    stores.map(({ store, isSilent, incarnation }) => [store, isSilent, incarnation]),
    instances,
    speeds.map(({ service, tokensPerMs, samples }) => [service, Math.round(tokensPerMs), samples]),
    limits.map(packLimit),
    revision,
    links,
    brittle.map(packLimit),
    Math.round(delayMs)
  ])
}

type WireLoad = readonly [number, number, number, number?]

type WireSum = readonly [...WireLoad, ...SpeedFields]

type WireLimit = readonly [number, number | null, number]

function packLimit ({ server, perSecond, ageMs }: LimitUpdate): WireLimit {
  return [server, perSecond ?? null, Math.round(ageMs)]
}

/** Held tokens are sent in units of this size, that of a short prompt, so that a heartbeat of a small fleet stays within its budget. */
const HELD_UNIT = 512

function packLoad ({ server, outstanding, tokens, heldTokens }: ServerLoadEntry): readonly [number, number, number, number] {
  return [server, outstanding, tokens, Math.round(heldTokens / HELD_UNIT)]
}

function readLoad ([server, outstanding, tokens, held = 0]: WireLoad): ServerLoadEntry {
  return { server, outstanding, tokens, heldTokens: held * HELD_UNIT }
}

function packSum (sum: WatchedServerEntry): WireSum {
  return [...packLoad(sum), ...packSpeed(sum.speed)]
}

function readSum ([server, outstanding, tokens, held, ...speed]: WireSum): WatchedServerEntry {
  return { ...readLoad([server, outstanding, tokens, held]), speed: readSpeed(speed) }
}

type Wire = readonly [
  string, string, string, number, boolean, boolean, number, number,
  readonly [number, string, number] | null,
  readonly WireLoad[],
  readonly unknown[],
  readonly number[],
  ReadonlyArray<readonly [string, number, number]> | undefined,
  ReadonlyArray<readonly [string, number, readonly number[]]> | undefined,
  readonly WireSum[] | undefined,
  ReadonlyArray<readonly [string, boolean, number]> | undefined,
  number | undefined,
  ReadonlyArray<readonly [string, number, number]> | undefined,
  readonly WireLimit[] | undefined,
  number | undefined,
  number | undefined,
  readonly WireLimit[] | undefined,
  number | undefined
]

const HEAD = ['string', 'string', 'string', 'number', 'boolean', 'boolean', 'number', 'number']

function nameOfType (value: unknown): string {
  return typeof value
}

function isWire (value: readonly unknown[]): value is Wire {
  return HEAD.every((type, index) => nameOfType(value[index]) === type) && value.slice(9, 12).every(part => Array.isArray(part))
}

/** Rejects invalid rates: one would stop all requests to a server permanently. */
function isStatement ([server, perSecond, ageMs]: WireLimit): boolean {
  return [server, perSecond ?? 0, ageMs].every(value => Number.isFinite(value) && value >= 0)
}

function readLimits (limits: readonly WireLimit[]): LimitUpdate[] {
  return limits.filter(isStatement).map(([server, perSecond, ageMs]) => ({ server, perSecond: perSecond ?? undefined, ageMs }))
}

/** Nothing for a datagram of another form, which an instance of another release may send. */
export function readPeerMessage (datagram: readonly unknown[]): Maybe<PeerMessage> {
  return Maybe.of(datagram).filter(isWire).chain(wire => Maybe.encase(() => {
    const [name, address, failureDomain, startedAt, isLeaving, hasStore, operators, servers, lease, loads, quarantines, savedLevels, named = [], current = [], sums = [], stores = [], instances = 1, speeds = [], limits = [], revision = -1, links = LinkState.Sound, brittle = [], delayMs = 0] = wire
    return {
      name,
      address,
      failureDomain,
      startedAt,
      isLeaving,
      hasStore,
      positions: { operators, servers },
      revision: Number(revision),
      delayMs: Number(delayMs),
      links: links in LinkState ? links : LinkState.Sound,
      lease: lease === null ? undefined : { offset: lease[0], holder: lease[1], ageMs: lease[2] },
      loads: loads.map(readLoad),
      sums: sums.map(readSum),
      instances: Number(instances) || 1,
      quarantines: readQuarantines(quarantines),
      savedLevels,
      named: named.map(([model, version, ageMs]) => ({ model, version, ageMs })),
      current: current.map(([model, version, engines]) => ({ model, version, engines })),
      speeds: speeds.map(([service, tokensPerMs, samples]) => ({ service, tokensPerMs: Number(tokensPerMs), samples: Number(samples) })),
      limits: readLimits(limits),
      brittle: readLimits(brittle),
      stores: stores.map(([store, isSilent, incarnation]) => ({ store, isSilent, incarnation }))
    }
  }))
}
