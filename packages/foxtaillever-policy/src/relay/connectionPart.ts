/**
 * One instance's part of the connections that a backend server accepts from all
 * instances together. Beyond them it resets connections.
 *
 * Load pattern: many instances, each with a few requests a second. Connections in
 * use are as many as the server has requests, but each instance also keeps idle
 * ones for a while; kept without regard to their number, they take the place of
 * requests.
 */

/** A request that finds the only connection busy would wait for a whole answer. */
const LEAST_IN_USE = 2

/** Idle connections kept at most to one server. */
const MOST_IDLE = 16

export interface ConnectionPart {
  /** Connections at most, idle ones included. */
  readonly total: number
  /** Idle connections that are kept at most. */
  readonly idle: number
}

/**
 * @param most connections that the server accepts.
 * @param instances that share them.
 */
export function connectionPart (most: number, instances: number): ConnectionPart {
  const part = Math.floor(most / Math.max(1, instances))
  return { total: Math.max(LEAST_IN_USE, part), idle: Math.min(MOST_IDLE, part) }
}
