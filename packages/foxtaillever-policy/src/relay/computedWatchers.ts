/**
 * Who keeps the sum of a backend server's load: the instances that rank first
 * for it by rendezvous hashing. All instances compute the same without a word,
 * and the loss of one moves only the servers that it watched to their second.
 */
import { hashNumber } from 'foxtaillever-core'
import { mixHashes } from '../placement/rendezvous.js'

/** An instance that may watch. */
export interface Watcher {
  readonly address: string
  readonly hash: number
}

/** A watcher and the one that takes over. */
const DEFAULT_COUNT = 2

/** The first of a ranking is asked, the next takes over; fewer where there are fewer instances. */
export function watchersOf (key: number, instances: readonly Watcher[], count = DEFAULT_COUNT): readonly Watcher[] {
  const ranked: Watcher[] = []
  const scores: number[] = []
  for (const watcher of instances) {
    const score = mixHashes(key, watcher.hash)
    if (ranked.length < count || score > (scores[count - 1] as number)) {
      const place = scores.findIndex(other => score > other)
      const index = place === -1 ? ranked.length : place
      ranked.splice(index, 0, watcher)
      scores.splice(index, 0, score)
      ranked.length = Math.min(ranked.length, count)
      scores.length = ranked.length
    }
  }
  return ranked
}

/** Watchers of servers that are remembered: four times the 670 of the largest fleet, so that replaced ones do not gather. */
const MOST_REMEMBERED = 2680

/**
 * The watchers of every server, computed when they are first asked for and kept
 * while the members stay the same: they are asked for with each word of load.
 */
export class ComputedWatchers {
  private members: readonly Watcher[] = []
  private readonly byServer = new Map<number, readonly string[]>()

  private constructor (private readonly count: number) {}

  /** @param count instances that a ranking names. */
  static create (count = DEFAULT_COUNT): ComputedWatchers {
    return new ComputedWatchers(count)
  }

  /**
   * @param addresses of all instances that are likely there, this one included.
   * @returns whether they are others than before.
   */
  setMembers (addresses: readonly string[]): boolean {
    const { members } = this
    if (addresses.length === members.length && addresses.every((address, index) => address === members[index]?.address)) {
      return false
    }
    const hashes = new Map(members.map(({ address, hash }) => [address, hash]))
    this.members = addresses.map(address => ({ address, hash: hashes.get(address) ?? hashNumber(address) }))
    this.byServer.clear()
    return true
  }

  /** Addresses of a server's watchers, by the server's hash. */
  of (server: number): readonly string[] {
    let watchers = this.byServer.get(server)
    if (watchers === undefined) {
      if (this.byServer.size >= MOST_REMEMBERED) {
        this.byServer.clear()
      }
      watchers = watchersOf(server, this.members, this.count).map(({ address }) => address)
      this.byServer.set(server, watchers)
    }
    return watchers
  }
}
