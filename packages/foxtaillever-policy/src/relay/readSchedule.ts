/**
 * Schedules which instance reads the platform's store next.
 *
 * Each call to the store is priced and limited for all instances together, and an
 * instance can send what it read to the others by datagram. So each instance reads
 * when its information reaches a certain age, which grows with its rank in an order
 * that all instances compute alike. The first in the order reads and sends; each
 * instance that receives its datagram restarts its own wait. This needs no agreement:
 * when the first is killed or cut off, or its datagram is lost, the next one reads a
 * little later, and the maximum age keeps the bounds.
 */
import { hashNumber } from 'foxtaillever-core'

/** An instance that may read the store. */
export interface Reader {
  readonly name: string
  readonly failureDomain: string
}

/** Rank in the order of readers, and how many of the first ones always watch for operators' changes. */
export interface ReaderRank {
  readonly rank: number
  readonly watchers: number
}

/** Age at which the first in the order reads again, milliseconds: several times within the bound on new work for a server that leaves. */
const READ_INTERVAL_MS = 700

/** Additional wait for each rank, milliseconds: more than an answer of the store and a datagram take. */
const RANK_DELAY_MS = 60

/** Maximum wait beyond READ_INTERVAL_MS, milliseconds: with it, information stays within two seconds even if one datagram is lost. */
const MAX_RANK_DELAY_MS = 800

/** Other instances also watch the store for operators' changes when no watching instance was heard from for this long, milliseconds. */
export const WATCH_SILENCE_MS = 1400

/** Maximum wait beyond WATCH_SILENCE_MS, milliseconds: other instances join by rank within two seconds. */
const MAX_WATCH_DELAY_MS = 400

/** Instances that always watch, also where there is one failure domain: one call may be held back or lost. */
const MIN_WATCHERS = 2

/** Longest time between the ends of two watchers' calls, as a share of the bound on configurations. */
const WATCH_GAP_SHARE = 0.3

/** Longest call of a watcher, as a share of that bound, so that one watcher alone keeps it. */
const WATCH_CALL_SHARE = 0.9

/**
 * Computes the rank of an instance among those that the store answers. The first
 * instance of each failure domain ranks before all others, so that a domain that is
 * cut off has an instance of low rank.
 */
export function rankReader (self: Reader, others: readonly Reader[]): ReaderRank {
  const domains = [...new Set([self, ...others].map(({ failureDomain }) => failureDomain))].sort()
  const ownHash = hashNumber(self.name)
  const precedingReaders = others.filter(({ name, failureDomain }) => failureDomain === self.failureDomain && hashNumber(name) < ownHash).length
  return { rank: precedingReaders * domains.length + domains.indexOf(self.failureDomain), watchers: Math.max(MIN_WATCHERS, domains.length) }
}

/**
 * When an instance reads the store next.
 * @param freshAt time up to which its information is complete. All in milliseconds of Unix time.
 */
export function nextReadAt (freshAt: number, { rank }: ReaderRank): number {
  return freshAt + READ_INTERVAL_MS + Math.min(rank * RANK_DELAY_MS, MAX_RANK_DELAY_MS)
}

/**
 * From when on an instance watches the store for operators' changes: always when it is one of
 * the first, which are of different failure domains, else when no other instance is known to watch.
 * @param watchedAt when another instance last announced that it watches. All in milliseconds of Unix time.
 */
export function nextWatchAt (watchedAt: number, { rank, watchers }: ReaderRank): number {
  return rank < watchers ? 0 : watchedAt + WATCH_SILENCE_MS + Math.min(rank * RANK_DELAY_MS, MAX_WATCH_DELAY_MS)
}

/**
 * How long the store may hold a watcher's next call, milliseconds. A call brings a change at its
 * end at the latest, whatever the store held it for, so the ends of the watchers' calls are spread
 * evenly. A change ends all calls at once, so that each watcher's next one is of another length.
 * @param boundMs time within which a configuration must be in force, milliseconds.
 * @param isFirst whether it is the first call after a change.
 */
export function watchCallMs (boundMs: number, { rank, watchers }: ReaderRank, isFirst: boolean): number {
  const callMs = boundMs * Math.min(WATCH_CALL_SHARE, WATCH_GAP_SHARE * watchers)
  return Math.round(isFirst ? callMs * (rank % watchers + 1) / watchers : callMs)
}
