/** How the shared levels of a prompt would come to an engine: found, fetched from their store, or read. */
import { homeOf } from 'foxtaillever-policy/relay/levelHome'
import { deepestSharedTokensOf, ownTokensOf, promptKeyOf, savedLevelOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { Routing } from '../model/routing.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { CacheUse } from './cacheUse.js'

export interface LevelSupply {
  /** Until an engine has the deepest shared level that another has read, milliseconds: moved from a store within a failure domain, read without one. */
  readonly fetchMs: number
  /** How long a fetch waits for the store's link, milliseconds. */
  readonly waitMs: number
  /** Tokens of the prompt that the engine would have to read. */
  readonly missingTokens: (server: Pick<KnownServer, 'weights'>) => number
}

const nothing: LevelSupply = { fetchMs: 0, waitMs: 0, missingTokens: () => 0 }

export function levelSupplyOf (exchange: Exchange, { services }: Routing, caches: Pick<CacheUse, 'available' | 'fetchLoad' | 'savedLevels'>, now: number, tokensPerMs: number): LevelSupply {
  const { prompt, service } = exchange
  const key = promptKeyOf(exchange)
  if (prompt === undefined || key === undefined) {
    return nothing
  }
  const store = homeOf(key, caches.available())
  const tokenBytes = services.get(service)?.engine?.tokenBytes
  if (store === undefined || tokenBytes === undefined) {
    const ownTokens = ownTokensOf(prompt)
    return { fetchMs: (prompt.promptTokens - ownTokens) / tokensPerMs, waitMs: 0, missingTokens: () => ownTokens }
  }
  // Most servers have the same weights.
  const missing = new Map<number, number>()
  const missingOn = (version: number): number => {
    const known = missing.get(version)
    if (known !== undefined) {
      return known
    }
    const isSaved = caches.savedLevels.isSavedRecently(savedLevelOf(exchange, prompt, version, store), now)
    const tokens = isSaved ? ownTokensOf(prompt) : prompt.promptTokens
    missing.set(version, tokens)
    return tokens
  }
  const msOf = (tokens: number): number => tokens * tokenBytes / store.linkBytesPerMs
  return {
    fetchMs: msOf(deepestSharedTokensOf(prompt)),
    waitMs: msOf(caches.fetchLoad.tokensAt(store.address, now)),
    missingTokens: ({ weights }) => {
      const version = weights.get(prompt.model)
      return version === undefined ? prompt.promptTokens : missingOn(version)
    }
  }
}
