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

/** The first watcher of a server is asked, the second takes over; fewer where there are fewer instances. */
export function watchersOf (server: number, instances: readonly Watcher[]): readonly Watcher[] {
  let first: Watcher | undefined
  let second: Watcher | undefined
  let firstScore = -1
  let secondScore = -1
  for (const watcher of instances) {
    const score = mixHashes(server, watcher.hash)
    if (score > firstScore) {
      second = first
      secondScore = firstScore
      first = watcher
      firstScore = score
    } else if (score > secondScore) {
      second = watcher
      secondScore = score
    }
  }
  return [first, second].filter(watcher => watcher !== undefined)
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

  private constructor () {}

  static create (): ComputedWatchers {
    return new ComputedWatchers()
  }

  /** @param addresses of all instances that are likely there, this one included. */
  setMembers (addresses: readonly string[]): void {
    const { members } = this
    if (addresses.length === members.length && addresses.every((address, index) => address === members[index]?.address)) {
      return
    }
    const hashes = new Map(members.map(({ address, hash }) => [address, hash]))
    this.members = addresses.map(address => ({ address, hash: hashes.get(address) ?? hashNumber(address) }))
    this.byServer.clear()
  }

  /** Addresses of a server's watchers, by the server's hash. */
  of (server: number): readonly string[] {
    let watchers = this.byServer.get(server)
    if (watchers === undefined) {
      if (this.byServer.size >= MOST_REMEMBERED) {
        this.byServer.clear()
      }
      watchers = watchersOf(server, this.members).map(({ address }) => address)
      this.byServer.set(server, watchers)
    }
    return watchers
  }
}
