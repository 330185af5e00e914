/** What instances tell each other of themselves with each beat, by datagram. */
import type { SpeedReport } from 'foxtaillever-policy/relay/prefillSpeed'
import type { ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import { Maybe } from 'purify-ts'
import { packDatagram } from './datagram.js'

/** How far an instance knows a topic. */
export interface Positions {
  readonly operators: number
  readonly servers: number
}

/** Load on a backend server. */
export interface ServerUse extends ServerLoad {
  /** Hash of its incarnation, or of the address of a store of cached levels. */
  readonly server: number
}

/** An engine's weights, as the one who orders them knows. */
export interface WeightsNews {
  /** Hash of its incarnation. */
  readonly server: number
  readonly model: string
  /** The one that it has, or will have after the change. */
  readonly version: number
  /** It takes nothing new for as long, milliseconds; 0 when it has the version. */
  readonly changingMs: number
}

/** Weights that operators named. */
export interface NamedNews {
  readonly model: string
  readonly version: number
  /** Since they were learned, milliseconds. */
  readonly ageMs: number
}

/** Engines that have the newest weights, as far as the teller knows. */
export interface CurrentEngines {
  readonly model: string
  readonly version: number
  /** Hashes of their incarnations: 5 bytes each, 210 for 42 engines. */
  readonly engines: readonly number[]
}

/** The newest record of the lease that is known. */
export interface LeaseNews {
  readonly offset: number
  readonly holder: string
  /** Since it was appended, milliseconds at most. */
  readonly ageMs: number
}

/** How fast the engines of a service read prompts, as the teller observed. */
export interface SpeedNews extends SpeedReport {
  readonly service: string
}

/** What a backend server stated of its limit last, as far as the teller knows. */
export interface LimitNews {
  /** Hash of its incarnation. */
  readonly server: number
  /** Requests from all instances together; undefined once it states no limit. */
  readonly perSecond: number | undefined
  /** Since it was stated, milliseconds. */
  readonly ageMs: number
}

export interface PeerMessage {
  readonly name: string
  /** IP number and port for datagrams and calls. */
  readonly address: string
  readonly failureDomain: string
  /** Start of the process, milliseconds of Unix time. */
  readonly startedAt: number
  readonly isLeaving: boolean
  /** The platform's store answers this instance. */
  readonly hasStore: boolean
  readonly positions: Positions
  /** Of the configuration that it acts by; -1 before the first. */
  readonly revision: number
  readonly lease: LeaseNews | undefined
  /** Load that it puts on servers itself; in a large fleet on the store of cached levels only. */
  readonly uses: readonly ServerUse[]
  /** Load of all instances on the servers that it watches for the fleet. */
  readonly sums: readonly ServerUse[]
  /** Since when which weights are replaced: the store keeps the newest only, and says of none when it was named. */
  readonly named: readonly NamedNews[]
  /** Digests of requests that crash backend servers. */
  readonly suspects: readonly string[]
  /** Hashes of prompt levels that it had saved to the store of cached levels of late. */
  readonly savedLevels: readonly number[]
  readonly current: readonly CurrentEngines[]
  /** What it found at the stores of cached levels that it watches. */
  readonly stores: readonly StoreReport[]
  /** Of services of which it has seen enough, for instances that have just started. */
  readonly speeds: readonly SpeedNews[]
  readonly limits: readonly LimitNews[]
  /** Instances that it reckons with, itself included: one that has just started knows few of them. */
  readonly instances: number
}

export function encodePeerMessage (message: PeerMessage): Buffer {
  const { name, address, failureDomain, startedAt, isLeaving, hasStore, positions, lease, uses, suspects, savedLevels, named, current, sums, stores, instances, speeds, limits, revision } = message
  return packDatagram([
    name, address, failureDomain, startedAt, isLeaving, hasStore, positions.operators, positions.servers,
    lease === undefined ? null : [lease.offset, lease.holder, Math.round(lease.ageMs)],
    uses.map(packUse),
    suspects,
    savedLevels,
    named.map(({ model, version, ageMs }) => [model, version, Math.round(ageMs)]),
    current.map(({ model, version, engines }) => [model, version, engines]),
    sums.map(packUse),
    stores.map(({ store, isSilent, incarnation }) => [store, isSilent, incarnation]),
    instances,
    speeds.map(({ service, tokensPerMs, samples }) => [service, Math.round(tokensPerMs), samples]),
    limits.map(({ server, perSecond, ageMs }) => [server, perSecond ?? null, Math.round(ageMs)]),
    revision
  ])
}

type WireUse = readonly [number, number, number, number?]

/** Memory is told in units of so many tokens, so that a beat of a small fleet stays within its budget: as much as a short prompt. */
const HELD_UNIT = 512

function packUse ({ server, outstanding, tokens, heldTokens }: ServerUse): WireUse {
  return [server, outstanding, tokens, Math.round(heldTokens / HELD_UNIT)]
}

function readUse ([server, outstanding, tokens, held = 0]: WireUse): ServerUse {
  return { server, outstanding, tokens, heldTokens: held * HELD_UNIT }
}

type Wire = readonly [
  string, string, string, number, boolean, boolean, number, number,
  readonly [number, string, number] | null,
  readonly WireUse[],
  readonly string[],
  readonly number[],
  ReadonlyArray<readonly [string, number, number]> | undefined,
  ReadonlyArray<readonly [string, number, readonly number[]]> | undefined,
  readonly WireUse[] | undefined,
  ReadonlyArray<readonly [string, boolean, number]> | undefined,
  number | undefined,
  ReadonlyArray<readonly [string, number, number]> | undefined,
  ReadonlyArray<readonly [number, number | null, number]> | undefined,
  number | undefined
]

const HEAD = ['string', 'string', 'string', 'number', 'boolean', 'boolean', 'number', 'number']

function nameOfType (value: unknown): string {
  return typeof value
}

function isWire (value: readonly unknown[]): value is Wire {
  return HEAD.every((type, index) => nameOfType(value[index]) === type) && value.slice(9, 12).every(part => Array.isArray(part))
}

/** A rate that is none would close a server for good. */
function isStatement ([server, perSecond, ageMs]: readonly [number, number | null, number]): boolean {
  return [server, perSecond ?? 0, ageMs].every(value => Number.isFinite(value) && value >= 0)
}

/** Nothing for a datagram of another form: an instance of another release may send it. */
export function readPeerMessage (datagram: readonly unknown[]): Maybe<PeerMessage> {
  return Maybe.of(datagram).filter(isWire).chain(wire => Maybe.encase(() => {
    const [name, address, failureDomain, startedAt, isLeaving, hasStore, operators, servers, lease, uses, suspects, savedLevels, named = [], current = [], sums = [], stores = [], instances = 1, speeds = [], limits = [], revision = -1] = wire
    return {
      name,
      address,
      failureDomain,
      startedAt,
      isLeaving,
      hasStore,
      positions: { operators, servers },
      revision: Number(revision),
      lease: lease === null ? undefined : { offset: lease[0], holder: lease[1], ageMs: lease[2] },
      uses: uses.map(readUse),
      sums: sums.map(readUse),
      instances: Number(instances) || 1,
      suspects,
      savedLevels,
      named: named.map(([model, version, ageMs]) => ({ model, version, ageMs })),
      current: current.map(([model, version, engines]) => ({ model, version, engines })),
      speeds: speeds.map(([service, tokensPerMs, samples]) => ({ service, tokensPerMs: Number(tokensPerMs), samples: Number(samples) })),
      limits: limits.filter(isStatement).map(([server, perSecond, ageMs]) => ({ server, perSecond: perSecond ?? undefined, ageMs })),
      stores: stores.map(([store, isSilent, incarnation]) => ({ store, isSilent, incarnation }))
    }
  }))
}
