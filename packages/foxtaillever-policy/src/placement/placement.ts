/**
 * Chooses a backend server for a job, or says that waiting for one that is full
 * is better than going to one that is free. One handler for each policy; the
 * table is the only place that knows them all.
 */
import { PlacementPolicy, type Random } from 'foxtaillever-core'
import type { Candidate, Job } from '../job.js'
import type { ServerTable } from '../servers/serverTable.js'
import type { Server } from '../servers/server.js'
import { rankByBaseline, type Baseline } from './baselines.js'
import { collectCandidates, collectForSuspect, type InstancePlace } from './candidates.js'
import { weighServer, type WeighedServer } from './expectedFirstToken.js'
import { computeHomes, resizeHomes, type LevelHomes } from './homes.js'
import { PrefixTable } from './prefixTable.js'
import { recomputationPrice } from './recomputation.js'

/** Costs closer than this are equal; a late report is no better than that. */
const EQUAL_MS = 2
const EQUAL_SHARE = 0.05

/** Candidates kept for the explanation. */
const EXPLAINED = 8

/** An engine caches whole blocks; a level counts as met when this share of it is. */
const HIT_SHARE = 0.9

export interface PlacementRequest {
  readonly job: Job
  readonly weightsVersion: string
  readonly failedAt: readonly string[]
  /** It was in flight at a crash. */
  readonly isSuspect: boolean
  /** Whether the server may take this job at all, however empty it is. */
  readonly isEligible: (server: Server) => boolean
  /** Whether it has room for this job now. */
  readonly hasRoom: (server: Server) => boolean
  /** How much longer than expected the job has been held, milliseconds; 0 while its hold lasts. */
  readonly overdueMs: number
  readonly serviceMs: number
  /** How much a prefill done again weighs against waiting. */
  readonly recomputationWeight: number
  readonly now: number
}

export interface Placement {
  readonly server: Server
  /** The server is full, and waiting for it is the cheapest. */
  readonly held: boolean
  readonly waitMs: number
  readonly expectedMs: number
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly levels: readonly LevelHomes[]
  readonly candidates: readonly Candidate[]
}

export interface PlacerOptions {
  readonly fleet: ServerTable
  readonly random: Random
  readonly distanceTo: (failureDomain: string) => number
}

/** A weighed server as this job can have it now. */
interface Offer {
  readonly weighed: WeighedServer
  readonly cost: number
  /** Whether it takes the job now; else the job is held for it. */
  readonly isOpen: boolean
}

type PlacementHandler = (request: PlacementRequest) => Placement | undefined

export class Placer {
  readonly prefixes = PrefixTable.create()
  private turn = 0
  private readonly handlers: Record<PlacementPolicy, PlacementHandler>

  private instance: InstancePlace = { index: 0, count: 1 }

  private constructor (private readonly options: PlacerOptions) {
    const baseline = (policy: Baseline): PlacementHandler => request => this.placeByBaseline(policy, request)
    this.handlers = {
      [PlacementPolicy.Random]: baseline(PlacementPolicy.Random),
      [PlacementPolicy.RoundRobin]: baseline(PlacementPolicy.RoundRobin),
      [PlacementPolicy.LeastOutstanding]: baseline(PlacementPolicy.LeastOutstanding),
      [PlacementPolicy.PrefixAffinity]: baseline(PlacementPolicy.PrefixAffinity),
      [PlacementPolicy.ExpectedFirstToken]: request => this.placeByFirstToken(request)
    }
  }

  static create (options: PlacerOptions): Placer {
    return new Placer(options)
  }

  /** Undefined when no server can take the job now and none is worth waiting for. */
  place (policy: PlacementPolicy, request: PlacementRequest): Placement | undefined {
    return this.handlers[policy](request)
  }

  /**
   * The job was sent: its prefixes are that much hotter, and will be cached there.
   * @param decodeMs share of the server's time that its decode takes.
   */
  sent (jobId: string, placement: Placement, decodeMs: number, now: number): void {
    const { server, levels, cachedTokens, promptTokens } = placement
    const shared = levels.at(-2)?.tokens ?? 0
    // Heat is counted as if the shared levels were cached: were misses heat, each would make homes that miss more.
    const work = server.prefillMs(promptTokens - shared) + decodeMs
    for (const { record, tokens } of levels) {
      record.warm(work, now)
      resizeHomes(record, this.options.fleet.instances, now)
      if (tokens > cachedTokens) {
        record.startWarming({ server, jobId, readyAt: now + placement.expectedMs })
      }
    }
  }

  /** The prefill has ended, or the job before it. */
  endPrefill (jobId: string, { levels }: Placement): void {
    levels.forEach(({ record }) => record.endWarming(jobId))
  }

  /** Takes the place of this instance among all. */
  observePlace (place: InstancePlace): void {
    this.instance = place
  }

  /** The engine said how much it had cached: a hit or miss for each level. */
  learn ({ levels, server, promptTokens }: Placement, cachedTokens: number, now: number): void {
    server.load.observeCached(cachedTokens / Math.max(1, promptTokens))
    for (const [depth, { record, tokens, homes }] of levels.entries()) {
      const holder = record.holderAt(server)
      const hit = cachedTokens >= tokens * HIT_SHARE
      if (holder) {
        server.retention.observe(now - holder.usedAt, hit)
      }
      if (homes.includes(server)) {
        this.prefixes.observeHome(record, depth, hit)
      }
      if (hit) {
        record.learn(server, now)
      } else {
        record.forget(server)
      }
    }
  }

  /** The prefill is done: the server now has every level. */
  learnPrefilled (levels: readonly LevelHomes[], server: Server, now: number): void {
    levels.forEach(({ record }) => record.learn(server, now))
  }

  private placeByBaseline (policy: Baseline, request: PlacementRequest): Placement | undefined {
    const { job } = request
    const servers = this.options.fleet.readyFor(job.model)
      .filter(server => server.load.outstanding < server.configured.slots)
    if (servers.length === 0) {
      return undefined
    }
    const candidates = rankByBaseline(policy, { job, servers, random: this.options.random, turn: this.turn++ })
    const server = this.options.fleet.get(candidates[0]?.server ?? '')
    return server && {
      server,
      held: false,
      waitMs: 0,
      expectedMs: server.prefillMs(job.promptTokens),
      promptTokens: job.promptTokens,
      cachedTokens: 0,
      levels: [],
      candidates: candidates.slice(0, EXPLAINED)
    }
  }

  private placeByFirstToken (request: PlacementRequest): Placement | undefined {
    const { job, weightsVersion, now } = request
    const { fleet, random, distanceTo } = this.options
    const servers = fleet.readyFor(job.model)
    if (servers.length === 0) {
      return undefined
    }
    const ranked = fleet.rankedFor(job.model)
    const levels = computeHomes(this.prefixes, { job, weightsVersion, ranked, epoch: fleet.epoch })
    const input = { job, levels, distanceTo, recomputationPrice: recomputationPrice(fleet.utilisation) * request.recomputationWeight, failedAt: request.failedAt, serviceMs: request.serviceMs, now }
    const candidates = request.isSuspect ? collectForSuspect(job, ranked, this.instance, now) : collectCandidates(job, servers, levels, random, now)
    const offers = candidates
      .filter(server => request.isEligible(server))
      .map(server => createOffer(weighServer(server, input), request))
      .sort((one, other) => one.cost - other.cost)
    const chosen = this.choose(offers)
    return chosen && {
      server: chosen.weighed.server,
      held: !chosen.isOpen,
      waitMs: chosen.weighed.waitMs,
      expectedMs: chosen.weighed.firstTokenMs,
      promptTokens: job.promptTokens,
      cachedTokens: chosen.weighed.cachedTokens,
      levels,
      candidates: offers.slice(0, EXPLAINED).map(({ weighed, cost }) => ({ server: weighed.server.name, cost }))
    }
  }

  /**
   * Draws among the open servers that cost about as little as the best one.
   * Were the best always taken, all instances that read one report would take
   * the same.
   */
  private choose (offers: readonly Offer[]): Offer | undefined {
    const best = offers[0]
    if (!best) {
      return undefined
    }
    const limit = best.cost + Math.max(EQUAL_MS, best.cost * EQUAL_SHARE)
    const equal = offers.filter(({ isOpen, cost }) => isOpen && cost <= limit)
    return equal[this.options.random.below(equal.length)] ?? best
  }
}

/**
 * A full server costs the wait for it. A job that has waited there longer than
 * was expected waits behind something that the estimate does not see, so its
 * cost rises with each millisecond until another server is cheaper.
 */
function createOffer (weighed: WeighedServer, { hasRoom, overdueMs }: PlacementRequest): Offer {
  const isOpen = hasRoom(weighed.server) && !(weighed.isWarming && overdueMs === 0)
  return { weighed, isOpen, cost: isOpen ? weighed.cost : weighed.cost + overdueMs }
}
