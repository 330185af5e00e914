/** Load that this instance puts on each backend server and on the store of cached levels, as it tells the others. */
import type { FetchLoad } from '../cache/fetchLoad.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerUse } from './peerMessage.js'

/** @param store address of the store; undefined when there is none. */
export function ownUses (servers: readonly KnownServer[], store: string | undefined, { ownTokens }: FetchLoad): ServerUse[] {
  const uses = servers.map(({ listed, outstanding, unreadTokens }) => ({ server: listed.id, outstanding, tokens: unreadTokens }))
  if (store !== undefined) {
    uses.push({ server: store, outstanding: Math.sign(ownTokens), tokens: ownTokens })
  }
  return uses.filter(({ outstanding }) => outstanding > 0)
}
