/**
 * Export and import of kept cache by a stand-in engine. An export holds the
 * blocks cached under the engine's current identity. An import must match the
 * requested identity exactly, and the weights loaded here: otherwise a request
 * could use cached blocks of another account or of older weights.
 */
import { Failure, FailureCode, isSameCache, type CacheExport, type CacheIdentity, type CacheImport, type Clock } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { KeptCacheStore } from '../platform/keptCacheStoreModel.js'
import { BLOCK_TOKENS, BlockCache } from './blockCache.js'
import type { Weights } from './weights.js'

export class KeptCacheTransfer {
  private constructor (private readonly cache: BlockCache, private readonly clock: Clock, private readonly store: KeptCacheStore) {}

  static create (cache: BlockCache, clock: Clock, store: KeptCacheStore): KeptCacheTransfer {
    return new KeptCacheTransfer(cache, clock, store)
  }

  async exportCache (request: CacheExport, weights: Weights, incarnation: string): Promise<Either<Failure, number>> {
    const { identity } = request
    if (identity.incarnation !== incarnation || identity.weightsVersion !== weights.version()) {
      return refuseStale()
    }
    const salt = weights.salt({ account: identity.account, model: fullModel(identity) })
    const chain = BlockCache.chain(salt, request.prompt)
    const tokens = this.cache.match(chain, this.clock.now())
    const blocks = chain.slice(0, tokens / BLOCK_TOKENS)
    const stored = await this.store.put(request.key, { identity, blocks, tokens })
    return stored.map(() => tokens)
  }

  async importCache (request: CacheImport, weights: Weights): Promise<Either<Failure, number>> {
    const found = await this.store.get(request.key)
    return found.chain(entry => {
      if (!isSameCache(entry.identity, request.identity) || entry.identity.weightsVersion !== weights.version()) {
        return refuseStale()
      }
      this.cache.insert(entry.blocks, this.clock.now())
      return Right(entry.tokens)
    })
  }
}

function fullModel (identity: CacheIdentity): string {
  return identity.adapter === '' ? identity.model : `${identity.model}:${identity.adapter}`
}

function refuseStale (): Either<Failure, number> {
  return Left(Failure.notRun(FailureCode.Stale, 'This is not the cache that was asked for.'))
}
