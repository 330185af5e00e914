/**
 * What this instance knows of each prefix: how hot it is, how many home servers
 * that makes, which servers rank first for it and where it was met in a cache.
 * Bounded; a prefix dropped from the table is only placed by computation again.
 */
import { hashNumber, type PrefixLevel } from 'foxtaillever-core'
import { RecentMap } from '../collections/recentMap.js'
import { DecayingRate } from '../collections/decayingRate.js'
import { MovingMean } from '../collections/movingMean.js'
import type { Job } from '../job.js'
import type { Server } from '../servers/server.js'

/** About 2 MB; at 15 requests a second, all levels seen in a minute. */
const PREFIX_BOUND = 4096

/** Servers remembered to hold a prefix; more are found by rank. */
const HOLDER_BOUND = 6

/** Heat is forgotten in this time, so that a key that cools gives its homes back. */
const HEAT_FADE_MS = 5000

/** Heat of a new prefix is worked out as if it were this old, so that a burst is no rate. */
const LEAST_AGE_MS = 500

/** Standard deviations of a Poisson count taken off it. */
const DOUBT = 1.5

/** Chance that a home holds a prefix, before any request came. */
const HOME_HIT_PRIOR = 0.5

const HOME_HIT_GAIN = 0.2

/** Over all prefixes of a depth the mean is over more requests. */
const DEPTH_GAIN = 0.05

/** A server met with the prefix in its cache. */
export interface Holder {
  readonly server: Server
  /** Of the engine that held it; after a restart the entry means nothing. */
  readonly incarnation: string
  usedAt: number
}

/** A prefill under way that will leave the prefix in a server's cache. */
export interface Warming {
  readonly server: Server
  readonly jobId: string
  /** When its first token is expected, milliseconds of Unix time. */
  readonly readyAt: number
}

export class PrefixRecord {
  readonly hash: number
  /** Work that the prefix brings, server-milliseconds a millisecond. */
  private readonly work = DecayingRate.create(HEAT_FADE_MS)
  private readonly uses = DecayingRate.create(HEAT_FADE_MS)
  /** Share of the requests sent to a home that found the prefix there. */
  readonly homeHit: MovingMean
  homeCount = 1
  /** Milliseconds of Unix time; 0 before. */
  private firstUsedAt = 0
  ranking: readonly Server[] = []
  rankingEpoch = -1
  private holders: Holder[] = []
  private warmings: Warming[] = []

  private constructor (key: string, homeHitPrior: number) {
    this.hash = hashNumber(key)
    this.homeHit = MovingMean.create(homeHitPrior, HOME_HIT_GAIN)
  }

  /** @param homeHitPrior what is expected of its homes before the first request. */
  static create (key: string, homeHitPrior: number): PrefixRecord {
    return new PrefixRecord(key, homeHitPrior)
  }

  warm (work: number, now: number): void {
    this.firstUsedAt ||= now
    this.work.add(work, now)
    this.uses.add(1, now)
  }

  /**
   * Work a millisecond that the uses seen here prove. Of few uses little is
   * proven: one seen by chance, counted for 380 instances, would look hot.
   */
  heatAt (now: number): number {
    const uses = this.uses.value(now) * HEAT_FADE_MS
    const proven = uses <= 0 ? 0 : Math.max(0, 1 - DOUBT / Math.sqrt(uses))
    // A prefix met a second ago has a tenth of its heat in the mean; it is hot nonetheless.
    const age = Math.max(LEAST_AGE_MS, now - this.firstUsedAt)
    return this.work.value(now) * proven / (1 - Math.exp(-age / HEAT_FADE_MS))
  }

  holderAt (server: Server): Holder | undefined {
    return this.holders.find(holder => holder.server === server && holder.incarnation === server.incarnation)
  }

  heldBy (): readonly Holder[] {
    return this.holders
  }

  /** The server holds the prefix as of now. */
  learn (server: Server, now: number): void {
    const known = this.holderAt(server)
    if (known) {
      known.usedAt = now
      return
    }
    const others = this.holders.filter(holder => holder.server !== server)
    const kept = others.sort((one, other) => other.usedAt - one.usedAt).slice(0, HOLDER_BOUND - 1)
    this.holders = [...kept, { server, incarnation: server.incarnation, usedAt: now }]
  }

  startWarming (warming: Warming): void {
    this.warmings.push(warming)
  }

  endWarming (jobId: string): void {
    this.warmings = this.warmings.filter(warming => warming.jobId !== jobId)
  }

  warmingAt (server: Server): Warming | undefined {
    return this.warmings.find(warming => warming.server === server)
  }

  forget (server: Server): void {
    this.holders = this.holders.filter(holder => holder.server !== server)
  }
}

export class PrefixTable {
  private readonly records = RecentMap.create<PrefixRecord>(PREFIX_BOUND)
  private readonly homeHitByDepth: MovingMean[] = []

  private constructor () {}

  static create (): PrefixTable {
    return new PrefixTable()
  }

  get size (): number {
    return this.records.size
  }

  /**
   * Account, model and weights are part of the key: no other account's work is
   * ever counted on.
   * @param depth of the level, 0 for the shortest prefix.
   */
  use (job: Job, weightsVersion: string, level: PrefixLevel, depth: number): PrefixRecord {
    const key = `${job.account}/${job.model}/${weightsVersion}/${level.hash}`
    const known = this.records.use(key)
    if (known) {
      return known
    }
    const record = PrefixRecord.create(key, this.homeHitAt(depth).value)
    this.records.set(key, record)
    return record
  }

  /** A request went to a home of a prefix and found it there, or not. */
  observeHome (record: PrefixRecord, depth: number, hit: boolean): void {
    record.homeHit.add(hit ? 1 : 0)
    this.homeHitAt(depth).add(hit ? 1 : 0)
  }

  private homeHitAt (depth: number): MovingMean {
    const known = this.homeHitByDepth[depth] ?? MovingMean.create(HOME_HIT_PRIOR, DEPTH_GAIN)
    this.homeHitByDepth[depth] = known
    return known
  }
}
