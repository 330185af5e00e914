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

/** A store of cached levels. All stores weigh the same. */
export interface StorePlace {
  readonly hash: number
  readonly failureDomain: string
  readonly weight?: number
}

/** A server that may be the home of levels. */
export interface HomePlace extends StorePlace {
  /** Relative number of levels of which it is the home; 1 for an ordinary server. */
  readonly weight: number
}

const HASH_RANGE = 2 ** 32

/** Makes the choice of the domain independent of the choice within it; any constant does. */
const DOMAIN_SALT = 0x5bd1e995

/**
 * Whether a draw has a higher score than the best one so far, by weighted rendezvous
 * hashing: the score is the weight divided by the negative logarithm of the drawn
 * number. Most comparisons, and all between equal weights, need no logarithm.
 */
function isHigher (draw: number, weight: number, best: number, bestWeight: number): boolean {
  if (weight <= bestWeight && draw <= best) {
    return false
  }
  if (weight >= bestWeight && draw >= best) {
    return true
  }
  return weight * negativeLog(best) > bestWeight * negativeLog(draw)
}

function negativeLog (draw: number): number {
  return -Math.log((draw + 0.5) / HASH_RANGE)
}

/**
 * The place with the highest score for the key. Adding or removing a place, or
 * changing its weight, moves no key between the others.
 */
export function homeOf<Place extends StorePlace> (key: number, places: readonly Place[]): Place | undefined {
  let home: Place | undefined
  let best = -1
  let bestWeight = 0
  for (const place of places) {
    const draw = mixHashes(key, place.hash)
    const weight = place.weight ?? 1
    if (isHigher(draw, weight, best, bestWeight)) {
      best = draw
      bestWeight = weight
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

/** Share of each failure domain in the weight of all places. */
function domainShares (places: readonly StorePlace[]): Map<string, number> {
  const weights = new Map<string, number>()
  let total = 0
  for (const { failureDomain, weight = 1 } of places) {
    weights.set(failureDomain, (weights.get(failureDomain) ?? 0) + weight)
    total += weight
  }
  weights.forEach((weight, domain) => weights.set(domain, weight / total))
  return weights
}

/**
 * Failure domains whose engines may be the home of levels with the key. A domain
 * with a larger share of the stores than of the engines' weight passes its surplus
 * of levels to domains with a larger share of the weight, so that each engine gets
 * levels in proportion to its weight.
 * @returns undefined for all domains.
 */
export function homeDomains (key: number, stores: readonly StorePlace[], engines: readonly HomePlace[]): ReadonlySet<string> | undefined {
  const near = homeOf(key, stores)?.failureDomain
  if (near === undefined || engines.length === 0) {
    return undefined
  }
  const storesIn = domainShares(stores)
  const enginesIn = domainShares(engines)
  const surplus = (domain: string): number => (enginesIn.get(domain) ?? 0) - (storesIn.get(domain) ?? 0)
  const nearStores = storesIn.get(near) ?? 0
  const isNear = mixHashes(key, DOMAIN_SALT) / HASH_RANGE < 1 + surplus(near) / nearStores
  return new Set(isNear ? [near] : [...enginesIn.keys()].filter(domain => surplus(domain) > 0))
}
