/**
 * Compares member tables. Each message carries a hash of the members that are
 * alive in its sender's table; when hashes differ for too long, the whole table
 * is fetched from a member with another hash. Without this, a lost update would
 * leave two instances computing different homes for good.
 */
import type { Membership } from './membership.js'
import type { Message } from './message.js'
import type { Peers } from './peers.js'

/** How long hashes may differ while updates are on their way, milliseconds. */
const GRACE_PERIOD_MS = 3000

/** Grace period for each member, milliseconds, so that fetching large tables stays at some 2 KB/s at any size. */
const GRACE_PERIOD_PER_MEMBER_MS = 35

/** Shortest grace period as a share of the mean. */
const MIN_GRACE_PERIOD_SHARE = 0.5

export class SyncSystem {
  /** When to fetch a table if hashes still differ, milliseconds of Unix time. */
  private deadline = 0
  private isFetching = false
  private fetches = 0

  private constructor (private readonly membership: Membership, private readonly peers: Peers) {}

  static create (membership: Membership, peers: Peers): SyncSystem {
    return new SyncSystem(membership, peers)
  }

  fetchCount (): number {
    return this.fetches
  }

  /** Compares the hash in each message with this instance's own. */
  receive (message: Message): void {
    const now = this.membership.clock.now()
    if (message.tableDigest === this.membership.table.digest()) {
      this.postpone(now)
      return
    }
    const sender = this.membership.table.get(message.sender)
    if (now >= this.deadline && !this.isFetching && sender !== undefined) {
      this.fetchTable(sender.controlAddress).catch(() => {}).finally(() => { this.isFetching = false })
    }
  }

  private postpone (now: number): void {
    const gracePeriodMs = Math.max(GRACE_PERIOD_MS, GRACE_PERIOD_PER_MEMBER_MS * this.membership.table.alive().length)
    // Spread over its whole length, since all members see the end of a partition in the same second.
    this.deadline = now + gracePeriodMs * (MIN_GRACE_PERIOD_SHARE + this.membership.random.next())
  }

  private async fetchTable (address: string): Promise<void> {
    this.isFetching = true
    const answer = await this.peers.members(address)
    this.postpone(this.membership.clock.now())
    answer.ifRight(entries => {
      this.fetches += 1
      entries.forEach(entry => this.membership.applyEntry(entry, false))
    })
  }
}
