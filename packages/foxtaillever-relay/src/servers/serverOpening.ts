/** From when on this instance may send to a backend server, by all that is known of it. */
import { ServerState } from '../model/listedServer.js'
import type { KnownServer } from './knownServer.js'

/** Nothing may reach it before, no report or order either, milliseconds of Unix time; Infinity for never again. */
export function reachableFrom ({ listed, stated, displacedUntil }: KnownServer): number {
  return listed.state === ServerState.Ready ? Math.max(displacedUntil, stated.reachableFrom) : Infinity
}

/** The same for requests of callers, which count in the limit that it stated and return by a few after its rest. */
export function opensAt (server: KnownServer): number {
  return Math.max(reachableFrom(server), server.stated.opensAt, server.limitedUntil)
}
