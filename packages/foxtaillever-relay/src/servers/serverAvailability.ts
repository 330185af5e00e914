/** Decides from when on this instance may send to a backend server. */
import { ServerState } from '../model/listedServer.js'
import type { KnownServer } from './knownServer.js'

/** When anything may be sent to the server, reports and orders included, milliseconds of Unix time; Infinity for never again. */
export function reachableFrom ({ listed, stated, displacedUntil }: KnownServer): number {
  return listed.state === ServerState.Ready ? Math.max(displacedUntil, stated.reachableFrom) : Infinity
}

/** When requests of callers may be sent to the server as far as it stated no limit: only a few are sent at first after its backoff. */
export function opensAt (server: KnownServer): number {
  return Math.max(reachableFrom(server), server.stated.opensAt)
}

/** When requests of callers may be sent to the server: they also count against the limit that it stated. */
export function availableFrom (server: KnownServer): number {
  return Math.max(opensAt(server), server.limitedUntil)
}
