/**
 * The operators' configuration, as it stands after folding the log. Durations
 * are what operators write; code turns each into a stored deadline when used.
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

/** How a backend server is chosen; the first four are baselines to measure against. */
export enum PlacementPolicy {
  Random = 'random',
  RoundRobin = 'round-robin',
  LeastOutstanding = 'least-outstanding',
  PrefixAffinity = 'prefix-affinity',
  ExpectedFirstToken = 'expected-first-token'
}

/** Operators' word for a backend server, besides what the instance list says. */
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
  /** IP number and port. */
  readonly address: string
  readonly failureDomain: string
  readonly models: readonly string[]
  /** Requests it runs at once. */
  readonly slots: number
  readonly prefillTokensPerSecond: number
  readonly decodeTokensPerSecond: number
  /** Room for cached blocks, tokens. */
  readonly cacheTokens: number
  /** Whether it refuses orders with an old fencing number. */
  readonly checksFencing: boolean
  /** Whether it checks who gives it an order. */
  readonly checksCaller: boolean
  readonly state: AdministrativeState
}

export interface Model {
  readonly name: string
  readonly weightsVersion: string
  readonly adapters: readonly string[]
}

/** One call of a plain service; the first entry that matches counts. */
export interface PlainCall {
  readonly method: string
  /** Path prefix below the service's own. */
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

/** What a preset puts in force. */
export interface Preset {
  readonly name: PresetName
  readonly placement: PlacementPolicy
  /** Retries as a share of first tries, 0 to 1. */
  readonly retryShare: number
  /** Requests waiting at one instance before new ones are refused. */
  readonly queueLimit: number
  /** Deadline of a request that names none, after its arrival. */
  readonly defaultTimeoutMs: number
  /** Share of dispatches kept for lower classes, 0 to 1. */
  readonly floorShare: number
  /** Most backend servers of a model set aside as slow at once, 0 to 1. */
  readonly ejectedShare: number
  /** How much a prefill done again weighs against waiting; 1 when not given, more for a higher hit rate. */
  readonly recomputationWeight?: number
}

export interface Configuration {
  /** Log offset of the last record folded in; 0 when none. */
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
