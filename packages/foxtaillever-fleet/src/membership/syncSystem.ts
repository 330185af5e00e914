/**
 * Compares tables of members. Each message carries a hash of who lives in its
 * sender's eyes; while hashes keep differing, the whole table is fetched from
 * one that differs. Without this, news that got lost would leave two instances
 * computing different homes for good.
 */
import type { Membership } from './membership.js'
import type { Message } from './message.js'
import type { Peers } from './peers.js'

/** How long hashes may differ while news is on its way, milliseconds. */
const PATIENCE_MS = 3000

/** Added for each member, milliseconds, so that fetching stays at some 2 KB/s at any size. */
const PATIENCE_PER_MEMBER_MS = 35

/** The shortest patience as a share of the mean. */
const SHORTEST_SHARE = 0.5

export class SyncSystem {
  /** When to fetch if hashes still differ, milliseconds of Unix time. */
  private deadline = 0
  private busy = false
  private fetched = 0

  private constructor (private readonly membership: Membership, private readonly peers: Peers) {}

  static create (membership: Membership, peers: Peers): SyncSystem {
    return new SyncSystem(membership, peers)
  }

  fetchCount (): number {
    return this.fetched
  }

  /** Looks at the hash in each message. */
  receive (message: Message): void {
    const now = this.membership.clock.now()
    if (message.tableDigest === this.membership.table.digest()) {
      this.postpone(now)
      return
    }
    const sender = this.membership.table.get(message.sender)
    if (now >= this.deadline && !this.busy && sender !== undefined) {
      this.fetch(sender.controlAddress).catch(() => {}).finally(() => { this.busy = false })
    }
  }

  private postpone (now: number): void {
    const patience = Math.max(PATIENCE_MS, PATIENCE_PER_MEMBER_MS * this.membership.table.alive().length)
    // Spread as widely as it is long: a split shows to all members in the same second.
    this.deadline = now + patience * (SHORTEST_SHARE + this.membership.random.next())
  }

  private async fetch (address: string): Promise<void> {
    this.busy = true
    const answer = await this.peers.members(address)
    this.postpone(this.membership.clock.now())
    answer.ifRight(entries => {
      this.fetched += 1
      entries.forEach(entry => this.membership.learn(entry, false))
    })
  }
}
