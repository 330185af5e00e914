/** Estimates how an engine would get the shared levels of a prompt: already cached, fetched from their store, or computed. */
import { homeOf } from 'foxtaillever-policy/relay/levelHome'
import { cacheSaltOf, deepestSharedTokensOf, ownTokensOf, promptKeyOf, savedLevelOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { Routing } from '../model/routing.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { CacheStoreTracker } from './cacheStoreTracker.js'

export interface LevelFetchEstimate {
  /** Time until an engine has the deepest shared level that another engine has computed, milliseconds: the transfer from a store within a failure domain, or the computation if there is no store. */
  readonly fetchMs: number
  /** How long a fetch waits for the link of the store, milliseconds. */
  readonly waitMs: number
  /** Tokens of the prompt that the engine would have to compute. */
  readonly missingTokens: (server: Pick<KnownServer, 'weights'>) => number
}

const noFetch: LevelFetchEstimate = { fetchMs: 0, waitMs: 0, missingTokens: () => 0 }

export function estimateLevelFetch (exchange: Exchange, routing: Routing, caches: Pick<CacheStoreTracker, 'available' | 'fetchLoad' | 'savedLevels'>, now: number, tokensPerMs: number): LevelFetchEstimate {
  const { prompt, service } = exchange
  const key = promptKeyOf(exchange)
  if (prompt === undefined || key === undefined) {
    return noFetch
  }
  const store = homeOf(key, caches.available())
  const tokenBytes = routing.services.get(service)?.engine?.tokenBytes
  if (store === undefined || tokenBytes === undefined) {
    const ownTokens = ownTokensOf(prompt)
    return { fetchMs: (prompt.promptTokens - ownTokens) / tokensPerMs, waitMs: 0, missingTokens: () => ownTokens }
  }
  // Computed once for each weights version, since most servers have the same one.
  const missingByVersion = new Map<number, number>()
  const missingTokensOf = (version: number): number => {
    const known = missingByVersion.get(version)
    if (known !== undefined) {
      return known
    }
    const isSaved = caches.savedLevels.isSavedRecently(savedLevelOf(prompt, cacheSaltOf(exchange, routing, version), store), now)
    const tokens = isSaved ? ownTokensOf(prompt) : prompt.promptTokens
    missingByVersion.set(version, tokens)
    return tokens
  }
  const msOf = (tokens: number): number => tokens * tokenBytes / store.linkBytesPerMs
  return {
    fetchMs: msOf(deepestSharedTokensOf(prompt)),
    waitMs: msOf(caches.fetchLoad.tokensInTransit(store.address, now)),
    missingTokens: ({ weights }) => {
      const version = weights.get(prompt.model)
      return version === undefined ? prompt.promptTokens : missingTokensOf(version)
    }
  }
}
