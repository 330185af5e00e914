/**
 * Whom the beats of a large fleet go to: in each round everyone once, in random
 * order. Drawn anew for each beat, one in eight of 70 instances would hear
 * nothing of another for twice as long as a round takes.
 */
import type { Random } from 'foxtaillever-core'

export class Rounds {
  private left: readonly string[] = []

  private constructor (private readonly random: Random) {}

  static create (random: Random): Rounds {
    return new Rounds(random)
  }

  /** @param all addresses that there are now. */
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
    return addresses.map(address => ({ address, order: this.random.next() })).sort((one, other) => one.order - other.order).map(({ address }) => address)
  }
}
