/**
 * Moves homes from backend servers that are much fuller than their peers to
 * those that are much emptier, by changing their weights in the ranking.
 *
 * A hash distributes prefixes, not work: with two dozen prefixes on six servers,
 * one server may be home to most of the hot ones and another to almost none. The
 * symptom is one queue that never empties while other servers idle, and
 * prefixes evicted from the full server's cache. Sending its jobs to other
 * servers one by one creates copies that evict even more; moving some of its
 * prefixes permanently does not.
 *
 * All instances read the same reports, so their weights differ only for a
 * moment. Weights change in coarse steps and stay 1 within a wide band, so an
 * evenly loaded fleet keeps its computed homes.
 */
import type { Server } from './server.js'

/** Time constant of the mean fullness; about ten reports count. */
const FULLNESS_DECAY_MS = 4000

/** A server keeps weight 1 while its fullness is within this factor of the mean. */
const EVEN_RATIO = 1.4

/** A weight is at most this factor above or below 1. */
const MAX_FACTOR = 4

/** Weights are powers of this factor; one step moves about a quarter of a server's prefixes. */
const FACTOR_STEP = 1.4

/** Added to each fullness, in requests a slot, so that nearly empty servers count as equal. */
const NEGLIGIBLE_FULLNESS = 0.1

/** Updates the mean fullness of one server. */
export function updateFullness (server: Server, now: number): void {
  const fullness = server.load.occupancy(now) / server.configured.slots
  const gain = server.fullnessAt === 0 ? 1 : 1 - Math.exp((server.fullnessAt - now) / FULLNESS_DECAY_MS)
  server.fullness += (fullness - server.fullness) * gain
  server.fullnessAt = now
}

function homeFactorFor (fullness: number, mean: number): number {
  const ratio = (mean + NEGLIGIBLE_FULLNESS) / (fullness + NEGLIGIBLE_FULLNESS)
  if (ratio < EVEN_RATIO && ratio > 1 / EVEN_RATIO) {
    return 1
  }
  const bounded = Math.min(MAX_FACTOR, Math.max(1 / MAX_FACTOR, ratio))
  return FACTOR_STEP ** Math.round(Math.log(bounded) / Math.log(FACTOR_STEP))
}

/** Updates the weights of a group of peers; returns whether any has changed. */
export function rebalanceHomes (peers: readonly Server[]): boolean {
  const mean = peers.reduce((sum, { fullness }) => sum + fullness, 0) / Math.max(1, peers.length)
  let changed = false
  for (const server of peers) {
    const factor = homeFactorFor(server.fullness, mean)
    // A weight changes by a whole step or back to 1, so that a server at the edge of a step does not oscillate.
    if (factor !== server.homeFactor && (factor === 1 || Math.abs(Math.log(factor / server.homeFactor)) > Math.log(FACTOR_STEP) * 0.9)) {
      server.homeFactor = factor
      changed = true
    }
  }
  return changed
}
