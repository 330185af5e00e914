/**
 * Additional cost of a millisecond of repeated prefill, in milliseconds that
 * callers wait.
 *
 * The caller waits for the prefill once, and so do the requests queued behind
 * it: in a queue at utilisation rho each millisecond of work causes
 * 1 / (1 - rho) ms of waiting. In a full cache the new copy also evicts another
 * prefix, which must then be prefilled again too. Without this cost a fleet near
 * its limit collapses: a full home sends its jobs to other servers, their
 * repeated prefill fills those servers too, until every request is a miss. The
 * symptom is a hit rate that halves while the load has hardly risen.
 */

/** Near full utilisation the estimate is too rough to divide by, so the cost is capped. */
const MAX_PRICE = 8

/**
 * Waiting caused by a millisecond of work. A copy in a full cache costs as much
 * again; the caller adds that, because it knows the cache.
 * @param utilisation of the servers' slots, 0 to 1.
 */
export function recomputationPrice (utilisation: number): number {
  return utilisation >= 1 ? MAX_PRICE : Math.min(MAX_PRICE, 1 / (1 - utilisation))
}
