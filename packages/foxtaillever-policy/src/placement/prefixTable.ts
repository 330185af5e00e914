/**
 * What this instance knows of each prefix: its heat, the number of its home
 * servers, their ranking, and the servers seen with the prefix in their cache.
 * The table is bounded; for a dropped prefix the homes are computed again.
 */
import { hashNumber, type PrefixLevel } from 'foxtaillever-core'
import { RecentMap } from '../collections/recentMap.js'
import { DecayingRate } from '../collections/decayingRate.js'
import { MovingMean } from '../collections/movingMean.js'
import type { Job } from '../job.js'
import type { Server } from '../servers/server.js'

/** Takes about 2 MB; at 15 requests a second this covers all levels seen in a minute. */
const MAX_PREFIXES = 4096

/** Servers stored as holders of a prefix; others are found by rank. */
const MAX_HOLDERS = 6

/** Time constant of the decay of heat, so that a prefix that is used less loses homes. */
const HEAT_DECAY_MS = 5000

/** Minimum age assumed for a new prefix, so that a burst does not count as a rate. */
const MIN_AGE_MS = 500

/** Standard deviations subtracted from a Poisson count, as a lower bound. */
const UNCERTAINTY_DEVIATIONS = 1.5

/** Probability that a home holds a prefix, before the first request. */
const HOME_HIT_PRIOR = 0.5

const HOME_HIT_GAIN = 0.2

/** Gain of the mean over all prefixes of one depth, which averages more requests. */
const DEPTH_GAIN = 0.05

/** A server that was seen with the prefix in its cache. */
export interface Holder {
  readonly server: Server
  /** Incarnation of the engine that held the prefix; after a restart the entry is invalid. */
  readonly incarnation: string
  usedAt: number
}

/** A prefill in progress that will leave the prefix in a server's cache. */
export interface Warming {
  readonly server: Server
  readonly jobId: string
  /** When its first token is expected, milliseconds of Unix time. */
  readonly readyAt: number
}

export class PrefixRecord {
  readonly hash: number
  /** Work caused by the prefix, milliseconds of server time a millisecond. */
  private readonly work = DecayingRate.create(HEAT_DECAY_MS)
  private readonly uses = DecayingRate.create(HEAT_DECAY_MS)
  /** Share of the requests sent to a home that found the prefix cached. */
  readonly homeHit: MovingMean
  homeCount = 1
  /** Milliseconds of Unix time; 0 before the first use. */
  private firstUsedAt = 0
  ranking: readonly Server[] = []
  rankingEpoch = -1
  private holders: Holder[] = []
  private warmings: Warming[] = []

  private constructor (key: string, homeHitPrior: number) {
    this.hash = hashNumber(key)
    this.homeHit = MovingMean.create(homeHitPrior, HOME_HIT_GAIN)
  }

  /** @param homeHitPrior assumed hit rate of its homes before the first request. */
  static create (key: string, homeHitPrior: number): PrefixRecord {
    return new PrefixRecord(key, homeHitPrior)
  }

  recordUse (work: number, now: number): void {
    this.firstUsedAt ||= now
    this.work.add(work, now)
    this.uses.add(1, now)
  }

  /**
   * Work a millisecond, as a lower bound given the number of uses seen here. A
   * few uses are weak evidence: one chance use, multiplied by 380 instances,
   * would look hot.
   */
  heatAt (now: number): number {
    const uses = this.uses.value(now) * HEAT_DECAY_MS
    const proven = uses <= 0 ? 0 : Math.max(0, 1 - UNCERTAINTY_DEVIATIONS / Math.sqrt(uses))
    // The mean has only a tenth or so of the heat of a prefix first used a second ago; dividing corrects for that.
    const age = Math.max(MIN_AGE_MS, now - this.firstUsedAt)
    return this.work.value(now) * proven / (1 - Math.exp(-age / HEAT_DECAY_MS))
  }

  findHolder (server: Server): Holder | undefined {
    return this.holders.find(holder => holder.server === server && holder.incarnation === server.incarnation)
  }

  listHolders (): readonly Holder[] {
    return this.holders
  }

  /** Records that the server holds the prefix now. */
  addHolder (server: Server, now: number): void {
    const known = this.findHolder(server)
    if (known) {
      known.usedAt = now
      return
    }
    const others = this.holders.filter(holder => holder.server !== server)
    const kept = others.sort((a, b) => b.usedAt - a.usedAt).slice(0, MAX_HOLDERS - 1)
    this.holders = [...kept, { server, incarnation: server.incarnation, usedAt: now }]
  }

  startWarming (warming: Warming): void {
    this.warmings.push(warming)
  }

  endWarming (jobId: string): void {
    this.warmings = this.warmings.filter(warming => warming.jobId !== jobId)
  }

  findWarming (server: Server): Warming | undefined {
    return this.warmings.find(warming => warming.server === server)
  }

  removeHolder (server: Server): void {
    this.holders = this.holders.filter(holder => holder.server !== server)
  }
}

export class PrefixTable {
  private readonly records = RecentMap.create<PrefixRecord>(MAX_PREFIXES)
  private readonly homeHitByDepth: MovingMean[] = []

  private constructor () {}

  static create (): PrefixTable {
    return new PrefixTable()
  }

  get size (): number {
    return this.records.size
  }

  /**
   * Returns the record of a prefix and marks it as used. Account, model and
   * weights are part of the key, so accounts never share a record.
   * @param depth of the level, 0 for the shortest prefix.
   */
  getOrCreate (job: Job, weightsVersion: string, level: PrefixLevel, depth: number): PrefixRecord {
    const key = `${job.account}/${job.model}/${weightsVersion}/${level.hash}`
    const known = this.records.get(key)
    if (known) {
      return known
    }
    const record = PrefixRecord.create(key, this.homeHitOfDepth(depth).value)
    this.records.set(key, record)
    return record
  }

  /** Records whether a request that went to a home of the prefix found it cached. */
  recordHomeHit (record: PrefixRecord, depth: number, hit: boolean): void {
    record.homeHit.add(hit ? 1 : 0)
    this.homeHitOfDepth(depth).add(hit ? 1 : 0)
  }

  private homeHitOfDepth (depth: number): MovingMean {
    const known = this.homeHitByDepth[depth] ?? MovingMean.create(HOME_HIT_PRIOR, DEPTH_GAIN)
    this.homeHitByDepth[depth] = known
    return known
  }
}
