/** Load that this instance puts on each backend server and on the store of cached levels, as it tells the others. */
import type { FetchLoad } from '../cache/fetchLoad.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerUse } from './peerMessage.js'

export function ownUses (servers: readonly KnownServer[]): ServerUse[] {
  return servers
    .filter(({ outstanding }) => outstanding > 0)
    .map(({ listed, outstanding, unreadTokens, heldTokens }) => ({ server: listed.id, outstanding, tokens: unreadTokens, heldTokens }))
}

/** @param store address of the store; undefined when there is none. */
export function ownStoreUses (store: string | undefined, { ownTokens }: FetchLoad): ServerUse[] {
  return store === undefined || ownTokens <= 0 ? [] : [{ server: store, outstanding: 1, tokens: ownTokens, heldTokens: 0 }]
}
