/**
 * What a millisecond of prefill done again costs, besides itself, in
 * milliseconds that callers wait.
 *
 * The caller pays it once; those behind it on the same server pay it as well:
 * in a queue at utilisation rho each millisecond of work makes
 * 1 / (1 - rho) ms of waiting. And the copy takes the place of another prefix
 * in a cache that is full, which is then done again too. Without this price a
 * fleet near its limit tips over: a full home sends its jobs elsewhere, their
 * prefill is done again there and fills those servers too, until every request
 * is a miss. One notices the hit rate halve while the load has hardly risen.
 */

/** Above this the estimate of utilisation is too rough to divide by. */
const HIGHEST_DELAY = 8

/**
 * Waiting that a millisecond of work makes. A copy in a full cache costs as much
 * again, which is added where the cache is known.
 * @param utilisation of the servers' slots, 0 to 1.
 */
export function recomputationPrice (utilisation: number): number {
  return utilisation >= 1 ? HIGHEST_DELAY : Math.min(HIGHEST_DELAY, 1 / (1 - utilisation))
}
