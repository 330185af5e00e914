/** The operator of a soak: writes configurations with keys that come and go, names weights, drains servers. */
import type { Clock } from 'foxtaillever-core'
import { createConfiguration, MODEL, services } from 'foxtaillever-platform/__fixtures__/relayFleet'
import type { BackendServer, PlatformDeployment } from 'foxtaillever-standins'

/** Where the store of cached prompt levels is; only engines go there. */
const CACHE_STORE = '127.0.0.1:9'

/** Room of the store of cached prompt levels, tokens: a few prompts, so that it drops some. */
const CACHE_STORE_TOKENS = 20_000

/** Keys that are in force for good, by the account that holds them. */
export const LASTING_KEYS: Readonly<Record<string, string>> = { 'key-acme': 'acme', 'key-walled': 'walled' }

/** The account that shares no cached prompt level with others. */
export const WALLED = 'walled'

/** A key's time, milliseconds of Unix time. */
export interface KeyTerm {
  readonly key: string
  readonly from: number
  until: number
}

/** A server that was told to leave, and when. */
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

export class SoakOperator {
  readonly rates: StatedRate[] = []
  /** How often a server was made to ask for rest. */
  rests = 0
  /** Keys that came with one configuration and went with the next. */
  readonly terms: KeyTerm[] = []
  readonly drains: Drain[] = []
  weights = 1
  private revision = 0

  private constructor (private readonly clock: Clock, private readonly platform: PlatformDeployment) {}

  static create (clock: Clock, platform: PlatformDeployment): SoakOperator {
    return new SoakOperator(clock, platform)
  }

  /** The server states a rate until it is told another; undefined for none. */
  limit (server: BackendServer, perSecond: number | undefined): void {
    const now = this.clock.now()
    this.rates.filter(rate => rate.server === server && rate.until === Infinity).forEach(rate => { rate.until = now })
    server.statedLimit = perSecond === undefined ? undefined : String(perSecond)
    if (perSecond !== undefined) {
      this.rates.push({ server, perSecond, from: now, until: Infinity })
    }
  }

  /** The server turns all requests away and asks for so much rest, seconds; undefined: it is well again. */
  rest (server: BackendServer, seconds: number | undefined): void {
    server.retryAfter = seconds === undefined ? undefined : String(seconds)
    this.rests += seconds === undefined ? 0 : 1
  }

  start (): void {
    this.platform.addCacheStore(CACHE_STORE, CACHE_STORE_TOKENS)
    this.platform.nameWeights(MODEL, this.weights)
    this.configure()
  }

  /** The next configuration, with a key of its own in place of the last one's. */
  configure (): void {
    this.revision += 1
    const key = `key-${this.revision}`
    const last = this.terms.at(-1)
    this.platform.configure(createConfiguration(this.revision, {
      services: [...services, { name: 'levels', kv_store_addr: CACHE_STORE, zone: 'zone-a', kv_capacity_tokens: CACHE_STORE_TOKENS }],
      tenants: [{ name: 'acme', api_keys: ['key-acme', key] }, { name: WALLED, api_keys: ['key-walled'], isolated: true }]
    }))
    const now = this.clock.now()
    if (last) {
      last.until = now
    }
    this.terms.push({ key, from: now, until: Infinity })
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
