/**
 * Computes the home of a shared prompt level: one store of cached levels, and an
 * engine of the same failure domain as far as there are enough.
 *
 * With several stores, every instance must find the one to which another instance
 * had the level saved. A computed home needs no messages, uses all links, and no two
 * stores keep the same level. A transfer between failure domains takes both links
 * twice as long: with engines chosen from all of three domains, two in three
 * transfers cross domains, and the links carry 1.7 times as much.
 */
import { mixHashes } from '../placement/rendezvous.js'

/** A server or store that may be the home of levels. */
export interface HomePlace {
  readonly hash: number
  readonly failureDomain: string
}

const HASH_RANGE = 2 ** 32

/** Makes the choice of the domain independent of the choice within it; any constant does. */
const DOMAIN_SALT = 0x5bd1e995

/** The place with the highest score for the key; adding or removing a place moves no key between the others. */
export function homeOf<Place extends HomePlace> (key: number, places: readonly Place[]): Place | undefined {
  let home: Place | undefined
  let best = -1
  for (const place of places) {
    const score = mixHashes(key, place.hash)
    if (score > best) {
      best = score
      home = place
    }
  }
  return home
}

/** The home among the places of the domains, or among all places if these domains have none. */
export function homeAmong<Place extends HomePlace> (key: number, domains: ReadonlySet<string> | undefined, places: readonly Place[]): Place | undefined {
  const near = domains ? places.filter(({ failureDomain }) => domains.has(failureDomain)) : places
  return homeOf(key, near.length > 0 ? near : places)
}

function countDomains (places: readonly HomePlace[]): Map<string, number> {
  const counts = new Map<string, number>()
  places.forEach(({ failureDomain }) => counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1))
  return counts
}

/**
 * Failure domains whose engines may be the home of levels with the key. A domain
 * with a larger share of the stores than of the engines passes its surplus of
 * levels to domains with a larger share of the engines, so that each engine gets
 * as many levels as any other.
 * @returns undefined for all domains.
 */
export function homeDomains (key: number, stores: readonly HomePlace[], engines: readonly HomePlace[]): ReadonlySet<string> | undefined {
  const near = homeOf(key, stores)?.failureDomain
  if (near === undefined || engines.length === 0) {
    return undefined
  }
  const storesIn = countDomains(stores)
  const enginesIn = countDomains(engines)
  const surplus = (domain: string): number => (enginesIn.get(domain) ?? 0) / engines.length - (storesIn.get(domain) ?? 0) / stores.length
  const nearStores = (storesIn.get(near) ?? 0) / stores.length
  const isNear = mixHashes(key, DOMAIN_SALT) / HASH_RANGE < 1 + surplus(near) / nearStores
  return new Set(isNear ? [near] : [...enginesIn.keys()].filter(domain => surplus(domain) > 0))
}
