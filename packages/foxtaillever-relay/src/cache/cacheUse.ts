/** What an instance knows of the stores of cached levels: what they hold, whether they answer, and how busy their links are. */
import { hashNumber, type Clock } from 'foxtaillever-core'
import { homeOf } from 'foxtaillever-policy/relay/levelHome'
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { StoreReach, type StoreWord } from 'foxtaillever-policy/relay/storeReach'
import type { CacheStore } from '../model/routing.js'
import type { ServerUse } from '../peers/peerMessage.js'
import type { Peers } from '../peers/peers.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { FetchLoad } from './fetchLoad.js'
import { StoreWatch, type CacheStoreCalls } from './storeWatch.js'

/** What it tells the others. */
export interface CacheWord {
  readonly savedLevels: readonly number[]
  readonly stores: readonly StoreWord[]
}

export interface CacheUseOptions {
  readonly clock: Clock
  readonly calls: CacheStoreCalls
  readonly log: RelayLog
  readonly name: string
  readonly failureDomain: string
  /** Those of the configuration in force. */
  readonly stores: () => readonly CacheStore[]
  readonly peers: Pick<Peers, 'likely' | 'tokensFrom' | 'send'>
}

export class CacheUse {
  readonly savedLevels = SavedLevels.create()
  readonly fetchLoad: FetchLoad
  readonly watch: StoreWatch
  private readonly reach = StoreReach.create()

  private constructor (private readonly options: CacheUseOptions) {
    const { clock, calls, peers } = options
    this.fetchLoad = FetchLoad.create(store => peers.tokensFrom(store))
    this.watch = StoreWatch.create({ clock, calls, stores: () => this.watched(), onChanged: word => this.onChanged(word) })
  }

  static create (options: CacheUseOptions): CacheUse {
    return new CacheUse(options)
  }

  /** Stores that answer. */
  available (): CacheStore[] {
    const now = this.options.clock.now()
    return this.options.stores().filter(({ address }) => this.reach.answers(address, now))
  }

  uses (): ServerUse[] {
    return this.fetchLoad.own(this.options.clock.now())
  }

  word (): CacheWord {
    const { name, clock } = this.options
    const stores = this.watch.words()
    this.reach.hear(name, stores, clock.now())
    return { savedLevels: this.savedLevels.tell(), stores }
  }

  hear (instance: string, { savedLevels, stores }: CacheWord): void {
    const now = this.options.clock.now()
    if (this.reach.hear(instance, stores, now)) {
      this.savedLevels.forget()
    }
    this.savedLevels.hear(savedLevels, now)
  }

  /** Two instances look at each store, since one may be cut off itself. */
  private watched (): CacheStore[] {
    const { name, failureDomain, stores, peers } = this.options
    const instances = [{ name, failureDomain }, ...peers.likely()].map(of => ({ ...of, hash: hashNumber(of.name) }))
    return stores().filter(({ hash }) => {
      const first = homeOf(hash, instances)
      const second = homeOf(hash, instances.filter(instance => instance !== first))
      return first?.name === name || second?.name === name
    })
  }

  private onChanged (word: StoreWord): void {
    const { name, log, peers } = this.options
    const { store, isSilent, incarnation } = word
    log.belief(isSilent ? 'A store of cached levels does not answer.' : 'A store of cached levels answers.', { store, incarnation })
    this.hear(name, { savedLevels: [], stores: [word] })
    peers.send()
  }
}
