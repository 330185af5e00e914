/**
 * Who keeps the sum of a backend server's load: the instances that rank first
 * for it by rendezvous hashing. All instances compute the same without a word,
 * and the loss of one moves only the servers that it watched to their second.
 */
import { mixHashes } from '../placement/rendezvous.js'

/** An instance that may watch. */
export interface Watcher {
  readonly address: string
  readonly hash: number
}

/** Watchers that one server has: the first is asked, the second takes over. */
export const WATCHERS = 2

/** The first watchers of a server, by the server's hash. */
export function watchersOf (server: number, instances: readonly Watcher[]): readonly Watcher[] {
  const best: Array<{ readonly watcher: Watcher, readonly score: number }> = []
  for (const watcher of instances) {
    const score = mixHashes(server, watcher.hash)
    const place = best.findIndex(other => score > other.score)
    if (place >= 0) {
      best.splice(place, 0, { watcher, score })
    } else if (best.length < WATCHERS) {
      best.push({ watcher, score })
    }
    best.length = Math.min(best.length, WATCHERS)
  }
  return best.map(({ watcher }) => watcher)
}
