/** Decides from when on this instance may send to a backend server. */
import { ServerState } from '../model/listedServer.js'
import type { KnownServer } from './knownServer.js'

/** Nothing may be sent to the server before, neither reports nor orders, milliseconds of Unix time; Infinity for never again. */
export function reachableFrom ({ listed, stated, displacedUntil }: KnownServer): number {
  return listed.state === ServerState.Ready ? Math.max(displacedUntil, stated.reachableFrom) : Infinity
}

/** The same for requests of callers, which count against the limit that the server stated and are only a few at first after its backoff. */
export function availableFrom (server: KnownServer): number {
  return Math.max(reachableFrom(server), server.stated.opensAt, server.limitedUntil)
}
