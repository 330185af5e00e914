/**
 * Where a shared prompt level is at home: at one store of cached levels, and at
 * engines of the same failure domain as far as those suffice.
 *
 * With several stores every instance has to look where another had the level
 * saved; the computed home needs no word between them, uses all links, and no
 * store holds what another has. A transfer between failure domains takes both
 * links twice as long: with engines drawn anywhere two in three transfers of
 * three domains are far, and the links carry 1.7 times as much.
 */
import { mixHashes } from '../placement/rendezvous.js'

/** A place that levels may be at home in. */
export interface HomePlace {
  readonly hash: number
  readonly failureDomain: string
}

const HASH_RANGE = 2 ** 32

/** Draws the domain apart from the place; any constant does. */
const DOMAIN_SALT = 0x5bd1e995

/** The place with the highest score for the key; one that comes or goes moves no key of the others. */
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

/** The home among places of the domains; those of another domain only where there is none in these. */
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
 * Failure domains whose engines may be home to levels with the key. A domain
 * with a larger part of the stores than of the engines gives the rest of its
 * levels to domains with more engines than stores, so that each engine gets as
 * many levels as any other.
 * @returns undefined when every domain may.
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
