/** Tracks the stores of cached levels: which levels they hold, whether they answer, and how busy their links are. */
import type { Clock } from 'foxtaillever-core'
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { StoreReachability, type StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import type { CacheStore } from '../model/routing.js'
import type { ServerLoadEntry } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { FetchLoad } from './fetchLoad.js'
import { StoreMonitor, type CacheStoreCalls } from './storeMonitor.js'

/** What an instance reports about the stores to the other instances. */
export interface CacheReport {
  readonly savedLevels: readonly number[]
  readonly stores: readonly StoreReport[]
}

export interface CacheStoreTrackerOptions {
  readonly clock: Clock
  readonly cacheStoreCalls: CacheStoreCalls
  readonly log: RelayLog
  /** The stores of the configuration in force. */
  readonly stores: () => readonly CacheStore[]
  /** The address by which other instances know this one. */
  readonly ownAddress: () => string
  /** Addresses of the instances that poll a store, by the hash of its address. */
  readonly watchersOf: (store: number) => readonly string[]
  /** Tokens in transit for other instances from the store at the address. */
  readonly othersTokens: (store: string) => number
  /** A store restarted empty: the levels saved there are lost. */
  readonly onStoreRestarted: () => void
  /** Sends a report to the other instances now. */
  readonly announceNow: () => void
}

/** For a deployment that has no store of cached levels. */
export const noCacheStores: Omit<CacheStoreTrackerOptions, 'clock' | 'log' | 'stores'> = {
  cacheStoreCalls: { poll: async () => { throw new Error('There is no store of cached levels to poll.') } },
  ownAddress: () => '',
  watchersOf: () => [''],
  othersTokens: () => 0,
  onStoreRestarted: () => {},
  announceNow: () => {}
}

export class CacheStoreTracker {
  readonly savedLevels = SavedLevels.create()
  readonly fetchLoad: FetchLoad
  readonly monitor: StoreMonitor
  private readonly reach = StoreReachability.create()

  private constructor (private readonly options: CacheStoreTrackerOptions) {
    const { clock, cacheStoreCalls: calls, othersTokens, log } = options
    this.fetchLoad = FetchLoad.create(othersTokens)
    this.monitor = StoreMonitor.create({ clock, calls, stores: () => this.watchedStores(), onChanged: report => this.handleChange(report), onError: error => log.trouble('A poll of a store of cached levels failed.', { reason: String(error) }) })
  }

  static create (options: CacheStoreTrackerOptions): CacheStoreTracker {
    return new CacheStoreTracker(options)
  }

  /** Stores that answer. */
  available (): CacheStore[] {
    const now = this.options.clock.now()
    return this.options.stores().filter(({ address }) => this.reach.isReachable(address, now))
  }

  /** The load of this instance on the links of the stores. */
  fetchLoads (): ServerLoadEntry[] {
    return this.fetchLoad.ownLoads(this.options.clock.now())
  }

  createReport (): CacheReport {
    const { ownAddress, clock } = this.options
    const stores = this.monitor.reports()
    this.reach.recordReports(ownAddress(), stores, clock.now())
    return { savedLevels: this.savedLevels.nextAnnouncement(), stores }
  }

  applyReport (instance: string, { savedLevels, stores }: CacheReport): void {
    const now = this.options.clock.now()
    if (this.reach.recordReports(instance, stores, now)) {
      this.savedLevels.clear()
      this.options.onStoreRestarted()
    }
    this.savedLevels.recordAnnounced(savedLevels, now)
  }

  /** Stores that this instance polls. Two instances poll each store, because one of them may be disconnected itself. */
  private watchedStores (): CacheStore[] {
    const { stores, ownAddress, watchersOf } = this.options
    const own = ownAddress()
    return stores().filter(({ hash }) => watchersOf(hash).includes(own))
  }

  private handleChange (report: StoreReport): void {
    const { ownAddress, log, announceNow } = this.options
    const { store, isSilent, incarnation } = report
    log.belief(isSilent ? 'A store of cached levels does not answer.' : 'A store of cached levels answers.', { store, incarnation })
    this.applyReport(ownAddress(), { savedLevels: [], stores: [report] })
    announceNow()
  }
}
