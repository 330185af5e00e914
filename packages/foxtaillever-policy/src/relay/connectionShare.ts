/**
 * One instance's share of the connections that a backend server accepts from all
 * instances together. The server resets connections beyond that number.
 *
 * Load pattern: many instances, each with a few requests a second. Each instance
 * also keeps idle connections for a while. Without a limit they use up the
 * connections that the server accepts, and requests find none.
 */

/** With a single connection, a second request would wait for the whole answer of the first. */
const MIN_CONNECTIONS = 2

/** Maximum of idle connections kept to one server. */
const MAX_IDLE = 16

export interface ConnectionShare {
  /** Maximum of connections, idle ones included. */
  readonly total: number
  /** Maximum of idle connections. */
  readonly idle: number
}

/**
 * @param maxConnections that the server accepts from all instances together.
 * @param instances that share them.
 */
export function connectionShare (maxConnections: number, instances: number): ConnectionShare {
  const share = Math.floor(maxConnections / Math.max(1, instances))
  return { total: Math.max(MIN_CONNECTIONS, share), idle: Math.min(MAX_IDLE, share) }
}
