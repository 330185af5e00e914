/** Looks at the stores of cached levels whose watch falls to this instance, and says what it finds. */
import type { Cancellation, Clock, Failure } from 'foxtaillever-core'
import type { StoreReport } from 'foxtaillever-policy/relay/storeReachability'
import type { Either } from 'purify-ts'
import type { CacheStore } from '../model/routing.js'

/** What a store says of itself. */
export interface StoreState {
  /** Changes with each start. */
  readonly incarnation: number
  /** Number of its next event; asking from there on keeps the answer short. */
  readonly nextEvent: number
}

/** Calls to stores of cached levels. */
export interface CacheStoreCalls {
  readonly look: (store: CacheStore, fromEvent: number) => Promise<Either<Failure, StoreState>>
}

/** Between two looks at a store, milliseconds. Two instances look: eight calls a second for two stores. */
const LOOK_MS = 500

/** After a look that failed, milliseconds: one lost packet must not keep the fleet from a store. */
const LOOK_AGAIN_MS = 150

/** Looks that fail in a row before a store counts as silent. */
const FAILURES = 2

export interface StoreWatchOptions {
  readonly clock: Clock
  readonly calls: CacheStoreCalls
  /** Stores that this instance is to look at now. */
  readonly stores: () => readonly CacheStore[]
  /** A store fell silent, answers again or has restarted. */
  readonly onChanged: (word: StoreReport) => void
}

interface Looks {
  word: StoreReport
  nextEvent: number
  failures: number
}

export class StoreWatch {
  private readonly looks = new Map<string, Looks>()
  private cancel: Cancellation = () => {}
  private isStopped = false

  private constructor (private readonly options: StoreWatchOptions) {}

  static create (options: StoreWatchOptions): StoreWatch {
    return new StoreWatch(options)
  }

  start (): void {
    this.lookAtAll()
  }

  stop (): void {
    this.isStopped = true
    this.cancel()
  }

  /** What the others are told with each beat. */
  words (): StoreReport[] {
    return [...this.looks.values()].map(({ word }) => word)
  }

  private async lookAtAll (): Promise<void> {
    const { clock, stores } = this.options
    const watched = stores()
    const addresses = new Set(watched.map(({ address }) => address))
    for (const address of [...this.looks.keys()]) {
      if (!addresses.has(address)) {
        this.looks.delete(address)
      }
    }
    const hasFailed = (await Promise.all(watched.map(async store => await this.look(store)))).includes(false)
    if (!this.isStopped) {
      this.cancel = clock.at(clock.now() + (hasFailed ? LOOK_AGAIN_MS : LOOK_MS), () => { this.lookAtAll() })
    }
  }

  /** @returns whether the store answered. */
  private async look (store: CacheStore): Promise<boolean> {
    const { address } = store
    const before = this.looks.get(address) ?? { word: { store: address, isSilent: false, incarnation: 0 }, nextEvent: 0, failures: 0 }
    const answer = await this.options.calls.look(store, before.nextEvent)
    const failures = answer.isRight() ? 0 : before.failures + 1
    const { incarnation, nextEvent } = answer.orDefault({ incarnation: before.word.incarnation, nextEvent: before.nextEvent })
    const word = { store: address, isSilent: failures >= FAILURES, incarnation }
    this.looks.set(address, { word, nextEvent, failures })
    if (word.isSilent !== before.word.isSilent || word.incarnation !== before.word.incarnation) {
      this.options.onChanged(word)
    }
    return answer.isRight()
  }
}
