/**
 * Model of the kept-cache store: cached blocks of prefixes outside the engines.
 * Its size is limited, and the oldest entries are evicted first. It returns any
 * entry to any caller; the engine that imports an entry checks who may use it.
 */
import { Failure, FailureCode, type KeptCache } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

/** Operations of the store that engines use. */
export interface KeptCacheStore {
  put: (key: string, entry: KeptCache) => Promise<Either<Failure, void>>
  get: (key: string) => Promise<Either<Failure, KeptCache>>
}

export interface KeptCacheStoreFaults {
  outage: boolean
}

export class KeptCacheStoreModel implements KeptCacheStore {
  private readonly entries = new Map<string, KeptCache>()
  readonly faults: KeptCacheStoreFaults = { outage: false }

  private constructor (private readonly capacityTokens: number) {}

  static create (capacityTokens: number): KeptCacheStoreModel {
    return new KeptCacheStoreModel(capacityTokens)
  }

  async put (key: string, entry: KeptCache): Promise<Either<Failure, void>> {
    if (this.faults.outage) {
      return this.failUnavailable()
    }
    this.entries.delete(key)
    this.entries.set(key, entry)
    this.evict()
    return Right(undefined)
  }

  async get (key: string): Promise<Either<Failure, KeptCache>> {
    if (this.faults.outage) {
      return this.failUnavailable()
    }
    const entry = this.entries.get(key)
    return entry ? Right(entry) : Left(Failure.notRun(FailureCode.BadRequest, `The store holds nothing under ${key}.`))
  }

  setFaults (faults: Partial<KeptCacheStoreFaults>): void {
    Object.assign(this.faults, faults)
  }

  tokens (): number {
    return [...this.entries.values()].reduce((sum, entry) => sum + entry.tokens, 0)
  }

  private failUnavailable<Value> (): Either<Failure, Value> {
    return Left(Failure.notRun(FailureCode.BackendServerError, 'The kept-cache store is down.'))
  }

  private evict (): void {
    for (const key of this.entries.keys()) {
      if (this.tokens() <= this.capacityTokens) {
        return
      }
      this.entries.delete(key)
    }
  }
}
