/** How long fetches wait at the store that is home to a prompt's shared levels. */
import { homeOf } from 'foxtaillever-policy/relay/levelHome'
import type { Routing } from '../model/routing.js'
import type { CacheUse } from './cacheUse.js'

export interface FetchedLevels {
  /** Hash of the levels that requests share. */
  readonly key: number
  readonly service: string
  /** Milliseconds of Unix time. */
  readonly now: number
}

/** Milliseconds; 0 without a store. */
export function fetchWaitMs ({ services }: Routing, caches: Pick<CacheUse, 'available' | 'fetchLoad'>, { key, service, now }: FetchedLevels): number {
  const store = homeOf(key, caches.available())
  const tokenBytes = services.get(service)?.engine?.tokenBytes
  return store === undefined || tokenBytes === undefined ? 0 : caches.fetchLoad.tokensAt(store.address, now) * tokenBytes / store.linkBytesPerMs
}
