/** What an instance knows of the store of cached levels: what it holds, and how busy its link is. */
import { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { FetchLoad } from './fetchLoad.js'

export interface CacheUse {
  readonly savedLevels: SavedLevels
  readonly fetchLoad: FetchLoad
}

/** @param othersTokens tokens that the other instances have on their way from the store at the address. */
export function createCacheUse (othersTokens: (store: string) => number): CacheUse {
  return { savedLevels: SavedLevels.create(), fetchLoad: FetchLoad.create(othersTokens) }
}
