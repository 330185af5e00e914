/** What instances tell each other by datagram: positional arrays by msgpackr, because names would double the size. */
import { Packr } from 'msgpackr'
import { Maybe } from 'purify-ts'

/** How far an instance knows a topic. */
export interface Positions {
  readonly operators: number
  readonly servers: number
}

/** Load that one instance puts on a backend server. */
export interface ServerUse {
  readonly server: string
  readonly outstanding: number
  /** Prompt tokens that it has yet to read for these. */
  readonly tokens: number
}

/** An engine's weights, as the one who orders them knows. */
export interface WeightsNews {
  readonly server: string
  readonly model: string
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

/** The newest record of the lease that is known. */
export interface LeaseNews {
  readonly offset: number
  readonly holder: string
  /** Start of the holder's process that wrote it. */
  readonly incarnation: string
  /** Since it was appended, milliseconds at most. */
  readonly ageMs: number
}

/** The promise of a process that it gives no order under a record of the lease up to this one. */
export interface LeaseResignation {
  readonly incarnation: string
  readonly offset: number
  /** Since it could last give an order, milliseconds at least. */
  readonly quietMs: number
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
  readonly lease: LeaseNews | undefined
  readonly resigned: LeaseResignation | undefined
  readonly uses: readonly ServerUse[]
  readonly weights: readonly WeightsNews[]
  /** Since when which weights are replaced: the store keeps the newest only, and says of none when it was named. */
  readonly named: readonly NamedNews[]
  /** Instances that it reckons with, itself included: one that has just started knows few of them. */
  readonly instances: number
  /** Digests of requests that crash backend servers. */
  readonly suspects: readonly string[]
  /** Hashes of prompt levels that it had saved to the store of cached levels of late. */
  readonly savedLevels: readonly number[]
}

const packr = new Packr({ useRecords: false })

export function encodePeerMessage (message: PeerMessage): Buffer {
  const { name, address, failureDomain, startedAt, isLeaving, hasStore, positions, lease, uses, weights, suspects, savedLevels, named, instances, resigned } = message
  return packr.pack([
    name, address, failureDomain, startedAt, isLeaving, hasStore, positions.operators, positions.servers,
    lease === undefined ? null : [lease.offset, lease.holder, Math.round(lease.ageMs), lease.incarnation],
    uses.map(({ server, outstanding, tokens }) => [server, outstanding, tokens]),
    weights.map(({ server, model, version, changingMs }) => [server, model, version, Math.round(changingMs)]),
    suspects,
    savedLevels,
    named.map(({ model, version, ageMs }) => [model, version, Math.round(ageMs)]),
    instances,
    resigned === undefined ? null : [resigned.offset, resigned.incarnation, Math.floor(resigned.quietMs)]
  ])
}

type Wire = readonly [
  string, string, string, number, boolean, boolean, number, number,
  readonly [number, string, number, string | undefined] | null,
  ReadonlyArray<readonly [string, number, number]>,
  ReadonlyArray<readonly [string, string, number, number]>,
  readonly string[],
  readonly number[],
  ReadonlyArray<readonly [string, number, number]> | undefined,
  number | undefined,
  readonly [number, string, number] | null | undefined
]

const HEAD = ['string', 'string', 'string', 'number', 'boolean', 'boolean', 'number', 'number']

function nameOfType (value: unknown): string {
  return typeof value
}

function isWire (value: unknown): value is Wire {
  return Array.isArray(value) && HEAD.every((type, index) => nameOfType(value[index]) === type) && value.slice(9, 13).every(part => Array.isArray(part))
}

/** Nothing for bytes of another form: an instance of another release may send them. */
export function decodePeerMessage (bytes: Uint8Array): Maybe<PeerMessage> {
  return Maybe.encase(() => packr.unpack(bytes) as unknown).filter(isWire).chain(wire => Maybe.encase(() => {
    const [name, address, failureDomain, startedAt, isLeaving, hasStore, operators, servers, lease, uses, weights, suspects, savedLevels, named = [], instances = 1, resigned = null] = wire as Wire
    return {
      name,
      address,
      failureDomain,
      startedAt,
      isLeaving,
      hasStore,
      positions: { operators, servers },
      lease: lease === null ? undefined : { offset: lease[0], holder: lease[1], ageMs: lease[2], incarnation: lease[3] ?? '' },
      resigned: resigned === null ? undefined : { offset: resigned[0], incarnation: resigned[1], quietMs: resigned[2] },
      uses: uses.map(([server, outstanding, tokens]) => ({ server, outstanding, tokens })),
      weights: weights.map(([server, model, version, changingMs]) => ({ server, model, version, changingMs })),
      suspects,
      savedLevels,
      instances: Number(instances) || 1,
      named: named.map(([model, version, ageMs]) => ({ model, version, ageMs }))
    }
  }))
}
