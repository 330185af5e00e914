/**
 * Orders to a model engine, its observed state, its cache events and its kept
 * cache, as engines publish them. Some engines check the fencing number and the
 * caller of an order, some ignore both; the configuration says which.
 */
import type { CacheIdentity } from './identity.js'

/** What part of the work an engine takes. */
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

/** What an engine says of itself when asked; how wanted and actual state are compared. */
export interface EngineState {
  readonly name: string
  readonly incarnation: string
  readonly models: readonly string[]
  readonly weightsVersion: string
  readonly adapters: readonly string[]
  readonly role: EngineRole
  readonly leaving: boolean
  /** Orders taken and not yet done, oldest first. */
  readonly pendingOrders: readonly EngineOrder[]
  /** The last orders done, oldest first. */
  readonly doneOrders: readonly string[]
  /** Highest fencing number seen; 0 for none. */
  readonly highestFence: number
}

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** One change of an engine's prefix cache. Events come late and with gaps. */
export interface CacheEvent {
  /** Rises by one within an incarnation; a missing number is a lost event. */
  readonly sequence: number
  readonly kind: CacheEventKind
  /** Whose blocks; empty account and model for evictions, which may mix owners. */
  readonly identity: CacheIdentity
  /** Request whose prompt was stored; empty for evictions. */
  readonly requestId: string
  /** Chained hashes of the blocks concerned. */
  readonly blocks: readonly string[]
  /** The engine's clock, milliseconds of Unix time. */
  readonly madeAt: number
}

export interface CacheEventPage {
  readonly incarnation: string
  readonly events: readonly CacheEvent[]
  /** The highest sequence published so far; it may have been lost. */
  readonly last: number
}

/** A prefix's cached blocks outside an engine, with whose work they are. */
export interface KeptCache {
  readonly identity: CacheIdentity
  readonly blocks: readonly string[]
  readonly tokens: number
}

/** Asks an engine to put a prefix's blocks into the kept-cache store. */
export interface CacheExport {
  readonly key: string
  readonly identity: CacheIdentity
  /** The prefix itself; the engine finds its blocks by it. */
  readonly prompt: string
}

/** Asks an engine to take blocks from the kept-cache store. */
export interface CacheImport {
  readonly key: string
  /** What the entry must be; any difference is refused. */
  readonly identity: CacheIdentity
}
