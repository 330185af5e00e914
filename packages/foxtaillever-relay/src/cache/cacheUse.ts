/** What an instance knows of the stores of cached levels: what they hold, whether they answer, and how busy their links are. */
import type { Clock } from 'foxtaillever-core'
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { StoreReachability, type StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import type { CacheStore } from '../model/routing.js'
import type { ServerUse } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { FetchLoad } from './fetchLoad.js'
import { StoreWatch, type CacheStoreCalls } from './storeWatch.js'

/** What it tells the others. */
export interface CacheWord {
  readonly savedLevels: readonly number[]
  readonly stores: readonly StoreReport[]
}

export interface CacheUseOptions {
  readonly clock: Clock
  readonly cacheStoreCalls: CacheStoreCalls
  readonly log: RelayLog
  /** Those of the configuration in force. */
  readonly stores: () => readonly CacheStore[]
  /** Where the others know this instance. */
  readonly ownAddress: () => string
  /** Addresses of the instances that look at a store, by the hash of its address. */
  readonly watchersOf: (store: number) => readonly string[]
  /** Tokens that the other instances have on their way from the store at the address. */
  readonly othersTokens: (store: string) => number
  /** A store came back empty: what was saved there is saved no more. */
  readonly onStoreRestarted: () => void
  /** The others are to hear of it now. */
  readonly tellAll: () => void
}

/** For a deployment that has no store of cached levels. */
export const withoutStores: Omit<CacheUseOptions, 'clock' | 'log' | 'stores'> = {
  cacheStoreCalls: { look: async () => { throw new Error('There is no store of cached levels to look at.') } },
  ownAddress: () => '',
  watchersOf: () => [''],
  othersTokens: () => 0,
  onStoreRestarted: () => {},
  tellAll: () => {}
}

export class CacheUse {
  readonly savedLevels = SavedLevels.create()
  readonly fetchLoad: FetchLoad
  readonly watch: StoreWatch
  private readonly reach = StoreReachability.create()

  private constructor (private readonly options: CacheUseOptions) {
    const { clock, cacheStoreCalls: calls, othersTokens } = options
    this.fetchLoad = FetchLoad.create(othersTokens)
    this.watch = StoreWatch.create({ clock, calls, stores: () => this.watched(), onChanged: word => this.onChanged(word) })
  }

  static create (options: CacheUseOptions): CacheUse {
    return new CacheUse(options)
  }

  /** Stores that answer. */
  available (): CacheStore[] {
    const now = this.options.clock.now()
    return this.options.stores().filter(({ address }) => this.reach.isReachable(address, now))
  }

  uses (): ServerUse[] {
    return this.fetchLoad.own(this.options.clock.now())
  }

  word (): CacheWord {
    const { ownAddress, clock } = this.options
    const stores = this.watch.words()
    this.reach.recordReports(ownAddress(), stores, clock.now())
    return { savedLevels: this.savedLevels.nextAnnouncement(), stores }
  }

  hear (instance: string, { savedLevels, stores }: CacheWord): void {
    const now = this.options.clock.now()
    if (this.reach.recordReports(instance, stores, now)) {
      this.savedLevels.clear()
      this.options.onStoreRestarted()
    }
    this.savedLevels.recordAnnounced(savedLevels, now)
  }

  /** Two instances look at each store, since one may be cut off itself. */
  private watched (): CacheStore[] {
    const { stores, ownAddress, watchersOf } = this.options
    const own = ownAddress()
    return stores().filter(({ hash }) => watchersOf(hash).includes(own))
  }

  private onChanged (word: StoreReport): void {
    const { ownAddress, log, tellAll } = this.options
    const { store, isSilent, incarnation } = word
    log.belief(isSilent ? 'A store of cached levels does not answer.' : 'A store of cached levels answers.', { store, incarnation })
    this.hear(ownAddress(), { savedLevels: [], stores: [word] })
    tellAll()
  }
}
