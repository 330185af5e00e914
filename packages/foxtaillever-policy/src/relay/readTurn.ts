/**
 * Which instance reads the platform's store next.
 *
 * Each call to the store is priced and limited for all instances together, and
 * what one has read the others can be told by datagram. So each instance reads
 * when what it knows has come to an age, and that age is a little higher for
 * each place that it has in an order which all compute alike. The first in the
 * order reads and tells; whoever hears it starts to count anew. Nothing is
 * agreed on: when the first is killed, cut off or its datagram is lost, the next
 * reads a little later, and the highest age of all keeps the bounds.
 */
import { hashNumber } from 'foxtaillever-core'

/** An instance that reads, or may. */
export interface Reader {
  readonly name: string
  readonly failureDomain: string
}

/** Place in the order, and how many failure domains have a first reader of their own. */
export interface ReaderPlace {
  readonly rank: number
  readonly domains: number
}

/** Age at which the first reads again, milliseconds: several times within the bound on new work for a server that leaves. */
const PACE_MS = 700

/** Each place reads this much later than the one before, milliseconds: more than an answer of the store and a datagram take. */
const TURN_MS = 60

/** No instance waits longer beyond the pace, milliseconds: one lost datagram is borne, and two seconds are kept. */
const LONGEST_TURN_MS = 800

/** Without word from one that waits at the store for operators' changes, others wait there too, milliseconds. */
export const WATCH_SILENCE_MS = 1400

/** The rest of two seconds, milliseconds: others join in turn. */
const LONGEST_WATCH_TURN_MS = 400

/**
 * The place of an instance among those that the store answers. The first of
 * each failure domain stand before all others, so that a domain that is cut off
 * has one near the front.
 */
export function placeReader (self: Reader, others: readonly Reader[]): ReaderPlace {
  const domains = [...new Set([self, ...others].map(({ failureDomain }) => failureDomain))].sort()
  const own = hashNumber(self.name)
  const before = others.filter(({ name, failureDomain }) => failureDomain === self.failureDomain && hashNumber(name) < own).length
  return { rank: before * domains.length + domains.indexOf(self.failureDomain), domains: domains.length }
}

/** @param freshAt up to when everything is known. All in milliseconds of Unix time. */
export function nextReadAt (freshAt: number, { rank }: ReaderPlace): number {
  return freshAt + PACE_MS + Math.min(rank * TURN_MS, LONGEST_TURN_MS)
}

/**
 * From when an instance waits at the store for operators' changes: always when
 * it is the first of its failure domain, else when no other is heard to wait.
 * @param watchedAt when another was last heard to wait there. All in milliseconds of Unix time.
 */
export function nextWatchAt (watchedAt: number, { rank, domains }: ReaderPlace): number {
  return rank < domains ? 0 : watchedAt + WATCH_SILENCE_MS + Math.min(rank * TURN_MS, LONGEST_WATCH_TURN_MS)
}
