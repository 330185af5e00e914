/** The operator of a soak: writes configurations with temporary keys, names weights, drains servers. */
import type { Clock } from 'foxtaillever-core'
import { createConfiguration, createRoute, ENGINES, MODEL, Path, PLAIN, services } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { BackendServer, PlatformDeployment } from 'foxtaillever-standins'
import { longStreamSettings } from './longStreams.js'
import { silentServerSettings } from './silentServers.js'

/** Address of the store of cached prompt levels; only engines connect to it. */
const CACHE_STORE = '127.0.0.1:9'

/** Capacity of the store of cached prompt levels, tokens: a few prompts, so that it evicts some. */
const CACHE_STORE_TOKENS = 20_000

/** Requests that a server that is not brittle lets wait. */
const USUAL_WAITING = 4

/** Keys that stay in force for the whole soak, and the account of each. */
export const PERMANENT_KEYS: Readonly<Record<string, string>> = { 'key-acme': 'acme', 'key-walled': 'walled' }

/** The account that shares no cached prompt level with others. */
export const ISOLATED_ACCOUNT = 'walled'

/** A key of one configuration, and when it was in force, milliseconds of Unix time. */
export interface TemporaryKey {
  readonly key: string
  readonly from: number
  until: number
}

/** A server that began to leave, and when. */
export interface Drain {
  readonly server: BackendServer
  readonly id: string
  readonly at: number
}

/** A rate that a server stated for itself. */
export interface StatedRate {
  readonly server: BackendServer
  readonly perSecond: number
  readonly from: number
  until: number
}

/** A time in which the links of some instances to all servers were cut. */
export interface LinkCutPeriod {
  /** Indexes of the instances. */
  readonly instances: readonly number[]
  readonly from: number
  readonly until: number
}

export class SoakOperator {
  readonly rates: StatedRate[] = []
  readonly linkCuts: LinkCutPeriod[] = []
  /** How often a server was made to state a Retry-After. */
  backoffCount = 0
  /** Keys that were added by one configuration and removed by the next. */
  readonly temporaryKeys: TemporaryKey[] = []
  readonly drains: Drain[] = []
  weights = 1
  private revision = 0

  private constructor (private readonly clock: Clock, private readonly platform: PlatformDeployment) {}

  static create (clock: Clock, platform: PlatformDeployment): SoakOperator {
    return new SoakOperator(clock, platform)
  }

  /** The server states this limit until the next call; undefined for no limit. */
  stateLimit (server: BackendServer, perSecond: number | undefined): void {
    const now = this.clock.now()
    this.rates.filter(rate => rate.server === server && rate.until === Infinity).forEach(rate => { rate.until = now })
    server.statedLimit = perSecond === undefined ? undefined : String(perSecond)
    if (perSecond !== undefined) {
      this.rates.push({ server, perSecond, from: now, until: Infinity })
    }
  }

  /** The server refuses all requests with this Retry-After, seconds; undefined: it accepts requests again. */
  setRetryAfter (server: BackendServer, seconds: number | undefined): void {
    server.retryAfter = seconds === undefined ? undefined : String(seconds)
    this.backoffCount += seconds === undefined ? 0 : 1
  }

  /** The servers can reject only a few requests a second from now on, and let none wait some time later; undefined: as before. */
  setBrittle (servers: readonly BackendServer[], perSecond: number | undefined): void {
    servers.forEach(server => server.setBrittle(perSecond, perSecond === undefined ? USUAL_WAITING : 0))
  }

  start (): void {
    this.platform.addCacheStore(CACHE_STORE, CACHE_STORE_TOKENS)
    this.platform.nameWeights(MODEL, this.weights)
    this.configure()
  }

  /** Writes the next configuration, with a new temporary key in place of the previous one. */
  configure (): void {
    this.revision += 1
    const key = `key-${this.revision}`
    const previousKey = this.temporaryKeys.at(-1)
    const long = longStreamSettings(this.revision)
    const silent = silentServerSettings()
    this.platform.configure(createConfiguration(this.revision, {
      routes: [createRoute(Path.Stream, 'stream', ENGINES), createRoute(Path.Once, 'non_idempotent', PLAIN), createRoute(Path.Repeatable, 'idempotent', PLAIN), long.route, ...silent.routes, ...long.idleRoutes],
      limits: long.limits,
      services: [...services, ...long.services, ...silent.services, { name: 'levels', kv_store_addr: CACHE_STORE, zone: 'zone-a', kv_capacity_tokens: CACHE_STORE_TOKENS }],
      tenants: [{ name: 'acme', api_keys: ['key-acme', key] }, { name: ISOLATED_ACCOUNT, api_keys: ['key-walled'], isolated: true }]
    }))
    const now = this.clock.now()
    if (previousKey) {
      previousKey.until = now
    }
    this.temporaryKeys.push({ key, from: now, until: Infinity })
  }

  nameWeights (): void {
    this.weights += 1
    this.platform.nameWeights(MODEL, this.weights)
  }

  drain (server: BackendServer): void {
    this.platform.drain(server)
    this.drains.push({ server, id: server.id, at: this.clock.now() })
  }

  clearCacheStore (): void {
    this.platform.clearCacheStore(CACHE_STORE)
  }
}
