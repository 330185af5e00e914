/** Load that this instance puts on each backend server, as it reports it to the others. */
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerLoadEntry } from './peerMessage.js'

export function ownLoads (servers: readonly KnownServer[]): ServerLoadEntry[] {
  return servers
    .filter(({ outstanding }) => outstanding > 0)
    .map(({ hash, outstanding, unreadTokens, heldTokens }) => ({ server: hash, outstanding, tokens: unreadTokens, heldTokens }))
}
