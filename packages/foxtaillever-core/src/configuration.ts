/**
 * The operators' configuration, as it is after folding the log. It holds
 * durations, as operators write them; code turns each into a deadline on use.
 */

export enum PresetName {
  OrdinaryDays = 'ordinary-days',
  Peaks = 'peaks',
  Maintenance = 'maintenance'
}

export enum PriorityClass {
  Priority = 'priority',
  Standard = 'standard',
  Bulk = 'bulk'
}

export enum ServerKind {
  Language = 'language',
  Plain = 'plain'
}

/** How a backend server is selected; the first four are baselines for measurements. */
export enum PlacementPolicy {
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding',
  PrefixAffinity = 'prefix-affinity',
  ExpectedFirstToken = 'expected-first-token'
}

/** State of a backend server that operators set, independent of the instance list. */
export enum AdministrativeState {
  InService = 'in-service',
  Draining = 'draining'
}

export interface ClientAccount {
  readonly name: string
  /** SHA-256 of each API key in force, hexadecimal. Keys themselves are never kept. */
  readonly keyDigests: readonly string[]
  /** Share against other accounts of the same class when the fleet is full. */
  readonly weight: number
  readonly priority: PriorityClass
  /** Limit over all instances, tokens of prefill and decode a second. */
  readonly tokensPerSecond: number
  /** Limit over all instances, requests at once. */
  readonly concurrentRequests: number
}

export interface BackendServer {
  readonly name: string
  readonly kind: ServerKind
  /** IP address and port. */
  readonly address: string
  readonly failureDomain: string
  readonly models: readonly string[]
  /** Requests it runs at once. */
  readonly slots: number
  readonly prefillTokensPerSecond: number
  readonly decodeTokensPerSecond: number
  /** Capacity for cached blocks, tokens. */
  readonly cacheTokens: number
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing: boolean
  /** Whether it checks the sender of an order. */
  readonly checksCaller: boolean
  readonly state: AdministrativeState
}

export interface Model {
  readonly name: string
  readonly weightsVersion: string
  readonly adapters: readonly string[]
}

/** One call of a plain service; the first entry that matches applies. */
export interface PlainCall {
  readonly method: string
  /** Path prefix below that of the service. */
  readonly path: string
  /** Whether the service itself allows the call to be repeated. */
  readonly idempotent: boolean
}

export interface PlainService {
  readonly name: string
  /** Path prefix under which callers reach it. */
  readonly path: string
  /** Names of backend servers. */
  readonly servers: readonly string[]
  readonly calls: readonly PlainCall[]
  readonly concurrentRequests: number
  readonly timeoutMs: number
}

/** Settings that operators switch together. */
export interface Preset {
  readonly name: PresetName
  readonly placement: PlacementPolicy
  /** Retries as a share of first attempts, 0 to 1. */
  readonly retryShare: number
  /** Requests waiting at one instance before new ones are refused. */
  readonly queueLimit: number
  /** Time from arrival to deadline, for a request that names no deadline. */
  readonly defaultTimeoutMs: number
  /** Share of dispatches reserved for lower classes, 0 to 1. */
  readonly floorShare: number
  /** Largest share of a model's backend servers excluded as slow at once, 0 to 1. */
  readonly ejectedShare: number
  /** Weight of a repeated prefill against waiting; 1 when not given, more for a higher hit rate. */
  readonly recomputationWeight: number
}

export interface Configuration {
  /** Log offset of the last folded record; 0 when none. */
  readonly revision: number
  readonly accounts: Readonly<Record<string, ClientAccount>>
  readonly servers: Readonly<Record<string, BackendServer>>
  readonly models: Readonly<Record<string, Model>>
  readonly services: Readonly<Record<string, PlainService>>
  readonly presets: Readonly<Record<PresetName, Preset>>
  readonly presetInForce: PresetName
}

export function createPreset (name: PresetName, changes: Partial<Preset> = {}): Preset {
  return {
    name,
    placement: PlacementPolicy.ExpectedFirstToken,
    retryShare: 0.1,
    queueLimit: 1000,
    defaultTimeoutMs: 60_000,
    floorShare: 0.1,
    ejectedShare: 0.34,
    recomputationWeight: 1,
    ...changes
  }
}

export const emptyConfiguration: Configuration = {
  revision: 0,
  accounts: {},
  servers: {},
  models: {},
  services: {},
  presets: {
    [PresetName.OrdinaryDays]: createPreset(PresetName.OrdinaryDays),
    [PresetName.Peaks]: createPreset(PresetName.Peaks),
    [PresetName.Maintenance]: createPreset(PresetName.Maintenance)
  },
  presetInForce: PresetName.OrdinaryDays
}

export function presetOf (configuration: Configuration): Preset {
  return configuration.presets[configuration.presetInForce]
}
