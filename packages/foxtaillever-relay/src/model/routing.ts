/**
 * What operators configure for relayed traffic: routes, services and client
 * accounts. Names are independent of those in the platform's own format.
 */
import type { CacheIsolation } from '../cache/cacheIsolation.js'

/** Whether a request may run more than once. */
export enum Repeatability {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once for each request of a caller. */
  Once = 'once'
}

/** A service that a route sends requests to, and its weight among the route's services. */
export interface RouteTarget {
  readonly service: string
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly targets: readonly RouteTarget[]
  readonly repeatability: Repeatability
  /** The answer is a series of events. */
  readonly isStream: boolean
  /** A broken stream may be resumed at another backend server after the last delivered event. */
  readonly isResumable: boolean
  /** Requests contain a prompt whose levels engines cache. */
  readonly hasPrompt: boolean
  /** Needs no API key. */
  readonly isPublic: boolean
  /** Maximum time that a caller waits for the complete answer, milliseconds. */
  readonly timeoutMs: number
  /** Latency objective of the answer or, for streams, of the first event, milliseconds. */
  readonly objectiveMs: number
  /** Objective for the longest pause between events of a stream, milliseconds; 0 for none. */
  readonly pauseObjectiveMs: number
  /** Maximum number of backend servers that may run one request. */
  readonly mostAttempts: number
  /** Requests with large prompts are admitted by the owner of their server's queue before they are sent; see `AdmissionQueue`. */
  readonly awaitsAdmission: boolean
  /** Callers give up when an answer sends nothing for this long, milliseconds; Infinity if they wait until their deadline. */
  readonly silenceLimitMs: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** Properties of the engines of a service. */
export interface EngineTraits {
  /** Number of requests that run concurrently. */
  readonly slots: number
  /** Memory for running requests and cached levels together, tokens. */
  readonly cacheTokens: number
  /** Size of one cached token in bytes. */
  readonly tokenBytes: number
  /** Maximum number of concurrent calls for cache events that one engine accepts. */
  readonly mostEventCalls: number
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Maximum number of connections that one backend server accepts from all instances together. */
  readonly mostConnections: number
  /** Only for engines. */
  readonly engine: EngineTraits | undefined
}

/** A store that keeps cached prompt levels apart from the engines. */
export interface CacheStore {
  /** IP address and port. */
  readonly address: string
  /** Hash of the address; decides which levels have their home there. */
  readonly hash: number
  readonly failureDomain: string
  readonly cacheTokens: number
  /** Bandwidth of its link within its failure domain, bytes per millisecond. */
  readonly linkBytesPerMs: number
}

/** What a quota counts. */
export enum QuotaUnit {
  Requests = 'requests',
  /** Tokens of the prompt plus the maximum of the answer. */
  Tokens = 'tokens'
}

/** What an account may use at all instances together. */
export interface RelayQuota {
  readonly unit: QuotaUnit
  readonly perSecond: number
  /** Maximum that can be used at once after an idle period. */
  readonly burst: number
  /** Token count that is assumed for a request that does not state one. */
  readonly unmeasuredTokens: number
}

export interface RelayAccount {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Overrides the route's priority. */
  readonly priority: number | undefined
  /** Shares no cached level with any other account. */
  readonly isIsolated: boolean
  /** Undefined for no limit. */
  readonly quota: RelayQuota | undefined
}

/** Limits on the size of callers' requests and on the time that callers may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One revision of the complete configuration. */
export interface Routing {
  /** Increases with each change. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  /** Each level has its home at one of these stores. */
  readonly cacheStores: readonly CacheStore[]
  readonly accounts: readonly RelayAccount[]
  /** Which of the accounts share cached levels. */
  readonly cacheIsolation: CacheIsolation
  readonly limits: CallerLimits
}
