/**
 * What operators configure for relayed traffic: routes, services and client
 * accounts, in the product's own words whatever the platform calls them.
 */

/** Whether a request may run more than once. */
export enum Repeatability {
  /** May run any number of times. */
  Idempotent = 'idempotent',
  /** May run at most once for each request of a caller. */
  Once = 'once'
}

/** A service that a route leads to, and its share of the route's requests. */
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
  /** A broken stream may go on at another backend server after the last event delivered. */
  readonly isResumable: boolean
  /** Requests carry a prompt whose levels engines cache. */
  readonly hasPrompt: boolean
  /** Needs no API key. */
  readonly isPublic: boolean
  /** Longest time a caller is kept waiting, milliseconds. */
  readonly timeoutMs: number
  /** Latency objective of the answer, for streams of the first event, milliseconds. */
  readonly objectiveMs: number
  /** Longest pause between events of a good stream, milliseconds; 0 for none. */
  readonly pauseObjectiveMs: number
  /** Backend servers that may run one request. */
  readonly mostAttempts: number
  /** 0 is the most urgent. */
  readonly priority: number
}

/** What an engine service says of its engines. */
export interface EngineTraits {
  /** Requests that run at once. */
  readonly slots: number
  /** Room for running requests and cached levels together, tokens. */
  readonly cacheTokens: number
  /** Memory of one cached token. */
  readonly tokenBytes: number
  /** Calls for cache events that one engine holds at once. */
  readonly mostEventCalls: number
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Connections that one backend server takes from all instances together. */
  readonly mostConnections: number
  /** Only for engines. */
  readonly engine: EngineTraits | undefined
}

/** A store that keeps cached prompt levels apart from the engines. */
export interface CacheStore {
  /** IP number and port. */
  readonly address: string
  /** Of its address; names the levels that are at home there. */
  readonly hash: number
  readonly failureDomain: string
  readonly cacheTokens: number
  /** What its link moves within its failure domain, bytes a millisecond. */
  readonly linkBytesPerMs: number
}

/** What a quota counts. */
export enum QuotaUnit {
  Requests = 'requests',
  /** Of the prompt and of the answer at most. */
  Tokens = 'tokens'
}

/** What an account may use over all instances. */
export interface RelayQuota {
  readonly unit: QuotaUnit
  readonly perSecond: number
  /** At once, after a pause. */
  readonly burst: number
  /** Tokens of a request that does not say how many it has. */
  readonly unmeasuredTokens: number
}

export interface RelayAccount {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Goes before the route's priority. */
  readonly priority: number | undefined
  /** Shares no cached level with any other account. */
  readonly isIsolated: boolean
  /** Undefined for no limit. */
  readonly quota: RelayQuota | undefined
}

/** Bounds on what callers may send, and how long they may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** One version of everything operators configure. */
export interface Routing {
  /** Only ever rises. */
  readonly revision: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  /** Each level is at home at one of them. */
  readonly cacheStores: readonly CacheStore[]
  readonly accounts: readonly RelayAccount[]
  readonly limits: CallerLimits
}
