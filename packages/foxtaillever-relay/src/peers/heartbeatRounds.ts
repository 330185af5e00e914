/**
 * Chooses the receivers of heartbeats in a large fleet: each round reaches every
 * instance once, in random order. If receivers were drawn anew for each heartbeat,
 * one in eight of 70 instances would receive nothing from another instance for
 * twice the length of a round.
 */
import type { Random } from 'foxtaillever-core'

export class HeartbeatRounds {
  private left: readonly string[] = []

  private constructor (private readonly random: Random) {}

  static create (random: Random): HeartbeatRounds {
    return new HeartbeatRounds(random)
  }

  /** @param all addresses of all instances at the moment. */
  next (all: readonly string[], count: number): readonly string[] {
    const known = new Set(all)
    let left = this.left.filter(address => known.has(address))
    if (left.length < count) {
      const queued = new Set(left)
      left = [...left, ...this.shuffle(all.filter(address => !queued.has(address)))]
    }
    this.left = left.slice(count)
    return left.slice(0, count)
  }

  private shuffle (addresses: readonly string[]): string[] {
    return addresses.map(address => ({ address, order: this.random.next() })).sort((a, b) => a.order - b.order).map(({ address }) => address)
  }
}
