/** Load that this instance puts on each backend server and on the stores of cached levels, as it tells the others. */
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerUse } from './peerMessage.js'

/** @param stores load on the stores of cached levels. */
export function ownUses (servers: readonly KnownServer[], stores: readonly ServerUse[]): ServerUse[] {
  const uses = servers.map(({ listed, outstanding, unreadTokens }) => ({ server: listed.id, outstanding, tokens: unreadTokens }))
  return [...uses, ...stores].filter(({ outstanding }) => outstanding > 0)
}
