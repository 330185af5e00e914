/**
 * Shifts homes from backend servers that are much fuller than their peers to
 * those that are much emptier, by their weight in the ranking.
 *
 * A hash spreads prefixes, not work: with two dozen prefixes on six servers one
 * server may hold most of the hot ones and another next to none. One notices
 * one queue that never empties beside servers that idle, and prefixes pushed out
 * of the full server's cache. Sending its jobs elsewhere one by one makes copies
 * that push out still more; moving some of its prefixes for good does not.
 *
 * All instances see the same reports, so they agree but for a moment. In coarse
 * steps and with a wide band in which nothing changes, a fleet that is about
 * even stays exactly as it was computed.
 */
import type { Server } from './server.js'

/** Mean fullness is over about this time; a fold of ten reports. */
const FADE_MS = 4000

/** Between these ratios to the mean no weight changes. */
const BAND = 1.4

/** A weight is at most this much above or below 1. */
const MOST_FACTOR = 4

/** Weights are powers of this; one step moves about a quarter of a server's prefixes. */
const STEP = 1.4

/** Emptier than this, in requests a slot, all servers count as equal. */
const NEGLIGIBLE = 0.1

/** Updates the mean fullness of one server. */
export function observeFullness (server: Server, now: number): void {
  const fullness = server.load.occupancy(now) / server.configured.slots
  const gain = server.fullnessAt === 0 ? 1 : 1 - Math.exp((server.fullnessAt - now) / FADE_MS)
  server.fullness += (fullness - server.fullness) * gain
  server.fullnessAt = now
}

function factorFor (fullness: number, mean: number): number {
  const ratio = (mean + NEGLIGIBLE) / (fullness + NEGLIGIBLE)
  if (ratio < BAND && ratio > 1 / BAND) {
    return 1
  }
  const bounded = Math.min(MOST_FACTOR, Math.max(1 / MOST_FACTOR, ratio))
  return STEP ** Math.round(Math.log(bounded) / Math.log(STEP))
}

/** Whether any weight has changed. */
export function rebalance (peers: readonly Server[]): boolean {
  const mean = peers.reduce((sum, { fullness }) => sum + fullness, 0) / Math.max(1, peers.length)
  let changed = false
  for (const server of peers) {
    const factor = factorFor(server.fullness, mean)
    // A step back waits for a second one, so that a server at the edge does not swing.
    if (factor !== server.homeFactor && (factor === 1 || Math.abs(Math.log(factor / server.homeFactor)) > Math.log(STEP) * 0.9)) {
      server.homeFactor = factor
      changed = true
    }
  }
  return changed
}
