/**
 * This instance's share of a client account's limit, which holds over all
 * instances.
 *
 * An even share is wrong: a balancer gives most instances few of an account's
 * requests, so an account would be refused at the busy ones while its limit is
 * half used. Shares follow demand, which instances tell each other as soft
 * state, and only for accounts near their limit; the others cost nothing. The
 * even share is what remains when the peers are silent.
 */
import { DecayingRate } from '../collections/decayingRate.js'
import { RecentMap } from '../collections/recentMap.js'

/** Demand is a mean over about this time. */
const DEMAND_FADE_MS = 5000

/** Most accounts told to peers; 64 entries of some 12 bytes a second are 0.8 KB/s. */
const SHARED_BOUND = 64

/** Accounts known; more than any instance sees in a few seconds. */
const ACCOUNT_BOUND = 4096

/** Told when the demand here is this much of what an even share would be. */
const NEAR_LIMIT = 0.5

/** Part of an even share that is always granted, so that a first request finds some. */
const LEAST_OF_EVEN = 0.1

/** Sums below this are what rounding leaves, tokens a second. */
const LEAST_DEMAND = 1e-6

/** Demand of one account at one instance, tokens a second. */
export interface AccountDemand {
  readonly account: string
  readonly tokensPerSecond: number
}

export interface ShareOfLimit {
  /** Share of the account's limit that this instance may use, 0 to 1. */
  shareFor: (account: string, now: number) => number
}

/** One peer's whole word; an account it does not name has little demand there. */
interface PeerDemand {
  readonly accounts: ReadonlyMap<string, number>
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
}

export class DemandShare implements ShareOfLimit {
  private readonly own = RecentMap.create<DecayingRate>(ACCOUNT_BOUND)
  private readonly peers = new Map<string, PeerDemand>()
  /** Sums over the peers, so that a request costs the same with any number of them. */
  private readonly ofPeers = new Map<string, number>()
  private nextExpiry = Infinity
  private instances = 1

  private constructor () {}

  static create (): DemandShare {
    return new DemandShare()
  }

  /** Takes the number of entry instances, this one included. */
  observeInstances (count: number): void {
    this.instances = Math.max(1, count)
  }

  /** Takes what a peer demands, which replaces what it said before. */
  observePeer (peer: string, demands: readonly AccountDemand[], expiresAt: number): void {
    this.forget(peer)
    const accounts = new Map(demands.map(({ account, tokensPerSecond }) => [account, tokensPerSecond]))
    this.peers.set(peer, { accounts, expiresAt })
    this.count(accounts, 1)
    this.nextExpiry = Math.min(this.nextExpiry, expiresAt)
  }

  /** A request of the account came here, taken in or not. */
  demand (account: string, tokens: number, now: number): void {
    const rate = this.own.get(account) ?? DecayingRate.create(DEMAND_FADE_MS)
    rate.add(tokens, now)
    this.own.set(account, rate)
  }

  shareFor (account: string, now: number): number {
    this.expire(now)
    const even = 1 / this.instances
    const heard = this.peers.size
    if (heard === 0) {
      return even
    }
    const silent = Math.max(0, this.instances - 1 - heard)
    const own = this.ownDemand(account, now)
    const others = this.ofPeers.get(account) ?? 0
    const ofHeard = own + others === 0 ? 1 / (heard + 1) : own / (own + others)
    return Math.max(even * LEAST_OF_EVEN, ofHeard * (1 - silent * even))
  }

  /** Demand of the accounts near their limit, largest first. */
  toShare (limitOf: (account: string) => number, now: number): AccountDemand[] {
    return this.own.list()
      .map(([account, rate]) => ({ account, tokensPerSecond: rate.value(now) * 1000 }))
      .filter(({ account, tokensPerSecond }) => tokensPerSecond > limitOf(account) / this.instances * NEAR_LIMIT)
      .sort((one, other) => other.tokensPerSecond - one.tokensPerSecond)
      .slice(0, SHARED_BOUND)
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
      this.count(known.accounts, -1)
      this.peers.delete(peer)
    }
  }

  private count (accounts: ReadonlyMap<string, number>, sign: 1 | -1): void {
    for (const [account, demand] of accounts) {
      const sum = (this.ofPeers.get(account) ?? 0) + sign * demand
      if (sum > LEAST_DEMAND) {
        this.ofPeers.set(account, sum)
      } else {
        this.ofPeers.delete(account)
      }
    }
  }

  private ownDemand (account: string, now: number): number {
    return (this.own.peek(account)?.value(now) ?? 0) * 1000
  }
}
