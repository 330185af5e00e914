/** Load that the other instances put on each backend server, as last reported. */
import type { Clock } from 'foxtaillever-core'
import { decayLoad, noLoad, estimateSum, type ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ServerLoadEntry } from './peerMessage.js'

interface PeerLoad {
  readonly loads: readonly ServerLoadEntry[]
  /** Milliseconds of Unix time. */
  readonly at: number
}

interface WatchedSum extends ServerLoad {
  readonly at: number
}

/** A watched sum expires after this many milliseconds: it has faded to less than a thousandth by then. */
const EXPIRY_MS = 4000

export class FleetLoad {
  private readonly byPeer = new Map<string, PeerLoad>()
  private readonly sums = new Map<number, ServerLoad>()
  /** Sums reported by watchers, by the server's hash. */
  private readonly watched = new Map<number, WatchedSum>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): FleetLoad {
    return new FleetLoad(clock)
  }

  of (server: number): ServerLoad {
    const reported = this.sums.get(server) ?? noLoad
    const sum = this.watched.get(server)
    return sum === undefined ? reported : add(reported, decayLoad(sum, this.clock.now() - sum.at), 1)
  }

  /**
   * Estimates the outstanding tokens at a server for which each instance reports
   * only its own load, when only few of these reports arrive here.
   * @param others number of instances that report.
   */
  sampledTokens (server: number, others: number): number {
    const now = this.clock.now()
    const samples = [...this.byPeer.values()].map(({ loads, at }) => ({ amount: loads.find(load => load.server === server)?.tokens ?? 0, ageMs: now - at }))
    return estimateSum(samples, others)
  }

  setPeerLoad (peer: string, loads: readonly ServerLoadEntry[]): void {
    this.remove(peer)
    this.byPeer.set(peer, { loads, at: this.clock.now() })
    this.addAll(loads, 1)
  }

  /** Records the load that a watcher reported for all other instances together. */
  setWatchedLoad (server: number, load: ServerLoad): void {
    this.watched.set(server, { ...load, at: this.clock.now() })
  }

  /** Removes the load of instances that are no longer alive, and expired sums. */
  retain (isAlive: (peer: string) => boolean): void {
    for (const peer of [...this.byPeer.keys()]) {
      if (!isAlive(peer)) {
        this.remove(peer)
      }
    }
    const now = this.clock.now()
    for (const [server, { at }] of this.watched) {
      if (at + EXPIRY_MS <= now) {
        this.watched.delete(server)
      }
    }
  }

  private remove (peer: string): void {
    this.addAll(this.byPeer.get(peer)?.loads ?? [], -1)
    this.byPeer.delete(peer)
  }

  private addAll (loads: readonly ServerLoadEntry[], sign: 1 | -1): void {
    for (const load of loads) {
      const sum = add(this.sums.get(load.server) ?? noLoad, load, sign)
      if (sum.outstanding <= 0) {
        this.sums.delete(load.server)
      } else {
        this.sums.set(load.server, sum)
      }
    }
  }
}

function add (a: ServerLoad, b: ServerLoad, sign: 1 | -1): ServerLoad {
  return {
    outstanding: a.outstanding + sign * b.outstanding,
    tokens: a.tokens + sign * b.tokens,
    heldTokens: a.heldTokens + sign * b.heldTokens
  }
}
