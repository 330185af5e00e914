/**
 * Divides the descriptors of a process among its doors and its connections to servers, so that clients of one door cannot
 * take those that the process needs to serve the others.
 *
 * Load pattern: thousands of connections are opened and kept. Without shares the process can open none to its servers, to
 * the platform's store or to other instances, and is not ready for its load balancer.
 */

/** Descriptors for files, which sockets must leave free. */
const FILES = 200

/** Shares of callers' connections and of calls of other instances. The rest is for connections to servers, one for each request in progress. */
const CALLERS_SHARE = 0.5
const PEERS_SHARE = 0.1

/** Connections of a load balancer's checks and of operators, each. */
const OPERATORS = 16

export interface DescriptorShares {
  /** Connections of callers. */
  readonly callers: number
  /** Requests of callers in progress. */
  readonly requests: number
  /** Connections of other instances. */
  readonly peers: number
  readonly readiness: number
  readonly metrics: number
}

/** @param descriptors that the process may have open; undefined if nothing is known to limit them. */
export function shareDescriptors (descriptors = Infinity): DescriptorShares {
  const sockets = Math.max(4 * OPERATORS, descriptors - FILES)
  const [callers, peers] = [Math.floor(CALLERS_SHARE * sockets), Math.floor(PEERS_SHARE * sockets)]
  return { callers, peers, readiness: OPERATORS, metrics: OPERATORS, requests: sockets === Infinity ? Infinity : Math.max(1, sockets - callers - peers - 2 * OPERATORS) }
}
