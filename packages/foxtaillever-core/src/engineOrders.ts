/**
 * Orders to a model engine, its observed state, its cache events and its cache
 * entries outside the engine, as engines publish them. Some engines check the
 * fencing number and the caller of an order, some ignore both; the configuration
 * says which.
 */
import type { CacheIdentity } from './identity.js'

/** Phases of a request that an engine runs. */
export enum EngineRole {
  Mixed = 'mixed',
  Prefill = 'prefill',
  Decode = 'decode'
}

export enum OrderKind {
  LoadModel = 'load-model',
  LoadVersion = 'load-version',
  LoadAdapter = 'load-adapter',
  ChangeRole = 'change-role'
}

/** Body of an order; fencing number and caller travel in headers. */
export type EngineOrder =
  | { readonly id: string, readonly kind: OrderKind.LoadModel, readonly model: string, readonly weightsVersion: string }
  | { readonly id: string, readonly kind: OrderKind.LoadVersion, readonly model: string, readonly weightsVersion: string }
  | { readonly id: string, readonly kind: OrderKind.LoadAdapter, readonly model: string, readonly adapter: string }
  | { readonly id: string, readonly kind: OrderKind.ChangeRole, readonly role: EngineRole }

/** State that an engine reports on request; it is compared with the wanted state. */
export interface EngineState {
  readonly name: string
  readonly incarnation: string
  readonly models: readonly string[]
  readonly weightsVersion: string
  readonly adapters: readonly string[]
  readonly role: EngineRole
  readonly leaving: boolean
  /** Orders accepted and not yet done, oldest first. */
  readonly pendingOrders: readonly EngineOrder[]
  /** The last orders done, oldest first. */
  readonly doneOrders: readonly string[]
  /** Highest fencing number received; 0 for none. */
  readonly highestFence: number
}

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** One change of an engine's prefix cache. Events arrive late and with gaps. */
export interface CacheEvent {
  /** Rises by one within an incarnation; a missing number is a lost event. */
  readonly sequence: number
  readonly kind: CacheEventKind
  /** Owner of the blocks; empty account and model for evictions, which may mix owners. */
  readonly identity: CacheIdentity
  /** Request whose prompt was stored; empty for evictions. */
  readonly requestId: string
  /** Chained hashes of the affected blocks. */
  readonly blocks: readonly string[]
  /** The engine's clock, milliseconds of Unix time. */
  readonly madeAt: number
}

export interface CacheEventPage {
  readonly incarnation: string
  readonly events: readonly CacheEvent[]
  /** The highest sequence published so far; that event may have been lost. */
  readonly last: number
}

/** Cached blocks of a prefix that are stored outside an engine, with their owner. */
export interface KeptCache {
  readonly identity: CacheIdentity
  readonly blocks: readonly string[]
  readonly tokens: number
}

/** Asks an engine to save the blocks of a prefix to the kept-cache store. */
export interface CacheExport {
  readonly key: string
  readonly identity: CacheIdentity
  /** The prefix itself; the engine finds its blocks by it. */
  readonly prompt: string
}

/** Asks an engine to load blocks from the kept-cache store. */
export interface CacheImport {
  readonly key: string
  /** Identity that the entry must have; any difference is refused. */
  readonly identity: CacheIdentity
}
