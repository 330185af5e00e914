/**
 * This instance's share of a client account's limit, which holds over all
 * instances.
 *
 * An even share is wrong: a balancer sends most instances few of an account's
 * requests, so the busy instances would refuse the account while its limit is half
 * used. Shares follow demand, which instances announce to each other as soft state,
 * and only for accounts near their limit; the others cost nothing. Without
 * announcements from peers, the share is even.
 */
import { DecayingRate } from '../collections/decayingRate.js'
import { RecentMap } from '../collections/recentMap.js'

/** Demand is a moving average over about this time. */
const DEMAND_WINDOW_MS = 5000

/** Maximum of accounts announced to peers; 64 entries of some 12 bytes a second are 0.8 KB/s. */
const MAX_ANNOUNCED_ACCOUNTS = 64

/** Maximum of known accounts; more than any instance serves in a few seconds. */
const MAX_ACCOUNTS = 4096

/** An account is announced when its demand at this instance exceeds this part of an even share. */
const NEAR_LIMIT_SHARE = 0.5

/** Part of an even share that is always granted, so that a first request is not refused. */
const MIN_SHARE_OF_EVEN = 0.1

/** Smaller sums are rounding errors, tokens a second. */
const MIN_DEMAND = 1e-6

/** Demand of one account at one instance, tokens a second. */
export interface AccountDemand {
  readonly account: string
  readonly tokensPerSecond: number
}

export interface ShareOfLimit {
  /** Share of the account's limit that this instance may use, 0 to 1. */
  shareFor: (account: string, now: number) => number
}

/** Last announcement of one peer; an account that it does not contain has little demand there. */
interface PeerDemand {
  readonly accounts: ReadonlyMap<string, number>
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
}

export class DemandShare implements ShareOfLimit {
  private readonly own = RecentMap.create<DecayingRate>(MAX_ACCOUNTS)
  private readonly peers = new Map<string, PeerDemand>()
  /** Sums over the peers, so that a request costs the same with any number of them. */
  private readonly peerSums = new Map<string, number>()
  private nextExpiry = Infinity
  private instances = 1

  private constructor () {}

  static create (): DemandShare {
    return new DemandShare()
  }

  /** Sets the number of entry instances, this one included. */
  setInstances (count: number): void {
    this.instances = Math.max(1, count)
  }

  /** Records the demand that a peer announced, which replaces its earlier announcement. */
  recordPeerDemand (peer: string, demands: readonly AccountDemand[], expiresAt: number): void {
    this.forget(peer)
    const accounts = new Map(demands.map(({ account, tokensPerSecond }) => [account, tokensPerSecond]))
    this.peers.set(peer, { accounts, expiresAt })
    this.addToSums(accounts, 1)
    this.nextExpiry = Math.min(this.nextExpiry, expiresAt)
  }

  /** Records a request of the account at this instance, accepted or not. */
  recordDemand (account: string, tokens: number, now: number): void {
    const rate = this.own.get(account) ?? DecayingRate.create(DEMAND_WINDOW_MS)
    rate.add(tokens, now)
    this.own.set(account, rate)
  }

  shareFor (account: string, now: number): number {
    this.expire(now)
    const even = 1 / this.instances
    const reporting = this.peers.size
    if (reporting === 0) {
      return even
    }
    const silent = Math.max(0, this.instances - 1 - reporting)
    const own = this.ownDemand(account, now)
    const others = this.peerSums.get(account) ?? 0
    const shareOfReporting = own + others === 0 ? 1 / (reporting + 1) : own / (own + others)
    return Math.max(even * MIN_SHARE_OF_EVEN, shareOfReporting * (1 - silent * even))
  }

  /** Demand of the accounts near their limit, largest first, for the next announcement. */
  demandsToAnnounce (limitOf: (account: string) => number, now: number): AccountDemand[] {
    return this.own.list()
      .map(([account, rate]) => ({ account, tokensPerSecond: rate.value(now) * 1000 }))
      .filter(({ account, tokensPerSecond }) => tokensPerSecond > limitOf(account) / this.instances * NEAR_LIMIT_SHARE)
      .sort((a, b) => b.tokensPerSecond - a.tokensPerSecond)
      .slice(0, MAX_ANNOUNCED_ACCOUNTS)
  }

  private expire (now: number): void {
    if (now < this.nextExpiry) {
      return
    }
    for (const [peer, { expiresAt }] of this.peers) {
      if (expiresAt <= now) {
        this.forget(peer)
      }
    }
    this.nextExpiry = Math.min(Infinity, ...[...this.peers.values()].map(({ expiresAt }) => expiresAt))
  }

  private forget (peer: string): void {
    const known = this.peers.get(peer)
    if (known) {
      this.addToSums(known.accounts, -1)
      this.peers.delete(peer)
    }
  }

  private addToSums (accounts: ReadonlyMap<string, number>, sign: 1 | -1): void {
    for (const [account, demand] of accounts) {
      const sum = (this.peerSums.get(account) ?? 0) + sign * demand
      if (sum > MIN_DEMAND) {
        this.peerSums.set(account, sum)
      } else {
        this.peerSums.delete(account)
      }
    }
  }

  private ownDemand (account: string, now: number): number {
    return (this.own.peek(account)?.value(now) ?? 0) * 1000
  }
}
