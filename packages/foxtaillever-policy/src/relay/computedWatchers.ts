/**
 * Assigns each backend server the instances that track its total load: those that
 * rank first for it by rendezvous hashing. All instances compute the same without
 * messages, and the loss of an instance moves only its servers, to their standby.
 */
import { hashNumber } from 'foxtaillever-core'
import { mixHashes } from '../placement/rendezvous.js'

/** An instance that may track the load of servers. */
export interface Watcher {
  readonly address: string
  readonly hash: number
}

/** The primary watcher and its standby. */
const WATCHERS_PER_SERVER = 2

/** A server's watchers in the order of their rank, the primary first; fewer than `count` where there are fewer instances. */
export function watchersOf (key: number, instances: readonly Watcher[], count = WATCHERS_PER_SERVER): readonly Watcher[] {
  const ranked: Watcher[] = []
  const scores: number[] = []
  for (const watcher of instances) {
    const score = mixHashes(key, watcher.hash)
    if (ranked.length < count || score > (scores[count - 1] as number)) {
      const place = scores.findIndex(rankedScore => score > rankedScore)
      const index = place === -1 ? ranked.length : place
      ranked.splice(index, 0, watcher)
      scores.splice(index, 0, score)
      ranked.length = Math.min(ranked.length, count)
      scores.length = ranked.length
    }
  }
  return ranked
}

/** Maximum of cached servers: four times the 670 of the largest fleet; the bound keeps replaced servers from piling up. */
const MAX_CACHED_SERVERS = 2680

/**
 * The watchers of every server, computed on first use and cached until the members
 * change, since every load report looks them up.
 */
export class ComputedWatchers {
  private members: readonly Watcher[] = []
  private readonly byServer = new Map<number, readonly string[]>()

  private constructor (private readonly count: number) {}

  /** @param count watchers of each server. */
  static create (count = WATCHERS_PER_SERVER): ComputedWatchers {
    return new ComputedWatchers(count)
  }

  /**
   * @param addresses of all instances that are likely alive, this one included.
   * @returns whether the members changed.
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
      if (this.byServer.size >= MAX_CACHED_SERVERS) {
        this.byServer.clear()
      }
      watchers = watchersOf(server, this.members, this.count).map(({ address }) => address)
      this.byServer.set(server, watchers)
    }
    return watchers
  }
}
