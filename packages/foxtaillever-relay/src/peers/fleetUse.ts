/** Load that the other instances put on each backend server, as it was last told. */
import type { Clock } from 'foxtaillever-core'
import { decayLoad, noLoad, estimateSum, type ServerLoad } from 'foxtaillever-policy/relay/serverLoad'
import type { ServerUse } from './peerMessage.js'

interface Word {
  readonly uses: readonly ServerUse[]
  /** Milliseconds of Unix time. */
  readonly at: number
}

interface Sum extends ServerLoad {
  readonly at: number
}

/** A sum is forgotten after this; less than a thousandth of it would count, milliseconds. */
const FORGOTTEN_MS = 4000

export class FleetUse {
  private readonly byPeer = new Map<string, Word>()
  private readonly sums = new Map<number, ServerLoad>()
  /** Sums that a watcher told. */
  private readonly watched = new Map<number, Sum>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): FleetUse {
    return new FleetUse(clock)
  }

  of (server: number): ServerLoad {
    const told = this.sums.get(server) ?? noLoad
    const sum = this.watched.get(server)
    return sum === undefined ? told : add(told, decayLoad(sum, this.clock.now() - sum.at), 1)
  }

  /**
   * Tokens on the way at what everybody tells of for itself, where few words of
   * each come here.
   * @param others instances that tell.
   */
  sampledTokens (server: number, others: number): number {
    const now = this.clock.now()
    const words = [...this.byPeer.values()].map(({ uses, at }) => ({ amount: uses.find(use => use.server === server)?.tokens ?? 0, ageMs: now - at }))
    return estimateSum(words, others)
  }

  observe (peer: string, uses: readonly ServerUse[]): void {
    this.forget(peer)
    this.byPeer.set(peer, { uses, at: this.clock.now() })
    this.addAll(uses, 1)
  }

  /** A watcher told what all others put on the server. */
  learn (server: number, load: ServerLoad): void {
    this.watched.set(server, { ...load, at: this.clock.now() })
  }

  /** One that is not heard any more puts no load that anyone knows of. */
  retain (isAlive: (peer: string) => boolean): void {
    for (const peer of [...this.byPeer.keys()]) {
      if (!isAlive(peer)) {
        this.forget(peer)
      }
    }
    const now = this.clock.now()
    for (const [server, { at }] of this.watched) {
      if (at + FORGOTTEN_MS <= now) {
        this.watched.delete(server)
      }
    }
  }

  private forget (peer: string): void {
    this.addAll(this.byPeer.get(peer)?.uses ?? [], -1)
    this.byPeer.delete(peer)
  }

  private addAll (uses: readonly ServerUse[], sign: 1 | -1): void {
    for (const use of uses) {
      const sum = add(this.sums.get(use.server) ?? noLoad, use, sign)
      if (sum.outstanding <= 0) {
        this.sums.delete(use.server)
      } else {
        this.sums.set(use.server, sum)
      }
    }
  }
}

function add (one: ServerLoad, other: ServerLoad, sign: 1 | -1): ServerLoad {
  return {
    outstanding: one.outstanding + sign * other.outstanding,
    tokens: one.tokens + sign * other.tokens,
    heldTokens: one.heldTokens + sign * other.heldTokens
  }
}
