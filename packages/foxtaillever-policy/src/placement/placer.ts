/**
 * Chooses a backend server for a job, or decides that waiting for a full server
 * is better than using a free one. Each policy has one handler, listed in one
 * table.
 */
import { PlacementPolicy, type Random } from 'foxtaillever-core'
import type { Candidate, Job } from '../job.js'
import type { ServerTable } from '../servers/serverTable.js'
import type { Server } from '../servers/server.js'
import { rankByBaseline, type Baseline } from './baselines.js'
import { collectCandidates, collectSuspectCandidates, type InstancePosition } from './candidates.js'
import { scoreServer, type ScoredServer } from './expectedFirstToken.js'
import { computeHomes, resizeHomes, type LevelHomes } from './homes.js'
import { PrefixTable } from './prefixTable.js'
import { recomputationPrice } from './recomputationPrice.js'

/** Costs closer than this count as equal; delayed load reports are no more precise. */
const EQUAL_COST_MS = 2
const EQUAL_COST_SHARE = 0.05

/** Candidates that the explanation of a decision lists. */
const EXPLAINED_CANDIDATES = 8

/** Engines cache whole blocks, so a level counts as a hit when this share of it was cached. */
const HIT_SHARE = 0.9

export interface PlacementRequest {
  readonly job: Job
  readonly weightsVersion: string
  readonly failedAt: readonly string[]
  /** The job was in flight when a server crashed. */
  readonly isSuspect: boolean
  /** Whether the server may take this job at all, however empty it is. */
  readonly isEligible: (server: Server) => boolean
  /** Whether the server has room for this job now. */
  readonly hasRoom: (server: Server) => boolean
  /** How long ago the job's hold ended, milliseconds; 0 during the hold. */
  readonly overdueMs: number
  readonly serviceMs: number
  /** Weight of a repeated prefill against waiting. */
  readonly recomputationWeight: number
  readonly now: number
}

export interface Placement {
  readonly server: Server
  /** The server is full, and waiting for it costs least. */
  readonly isHeld: boolean
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

/** A scored server, with the cost of using it now or waiting for it. */
interface Offer {
  readonly scored: ScoredServer
  readonly cost: number
  /** Whether the server takes the job now; otherwise the job is held for it. */
  readonly isOpen: boolean
}

type PlacementHandler = (request: PlacementRequest) => Placement | undefined

export class Placer {
  readonly prefixes = PrefixTable.create()
  private placementCount = 0
  private readonly handlers: Record<PlacementPolicy, PlacementHandler>

  private position: InstancePosition = { index: 0, count: 1 }

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
   * Records that the job was sent: adds its work to the heat of its prefixes, which the server will cache.
   * @param decodeMs share of the server's time that the decode takes.
   */
  recordSend (jobId: string, placement: Placement, decodeMs: number, now: number): void {
    const { server, levels, cachedTokens, promptTokens } = placement
    const shared = levels.at(-2)?.tokens ?? 0
    // Heat counts the shared levels as cached. If misses added heat, they would add homes, which miss again.
    const workMs = server.prefillMs(promptTokens - shared) + decodeMs
    for (const { record, tokens } of levels) {
      record.recordUse(workMs, now)
      resizeHomes(record, this.options.fleet.instances, now)
      if (tokens > cachedTokens) {
        record.startWarming({ server, jobId, readyAt: now + placement.expectedMs })
      }
    }
  }

  /** Called when the prefill has ended, or the job ended before it. */
  endPrefill (jobId: string, { levels }: Placement): void {
    levels.forEach(({ record }) => record.endWarming(jobId))
  }

  setInstancePosition (position: InstancePosition): void {
    this.position = position
  }

  /** Records a hit or a miss for each level, from the number of cached tokens that the engine reported. */
  recordCacheHits ({ levels, server, promptTokens }: Placement, cachedTokens: number, now: number): void {
    server.load.recordCachedShare(cachedTokens / Math.max(1, promptTokens))
    for (const [depth, { record, tokens, homes }] of levels.entries()) {
      const holder = record.findHolder(server)
      const hit = cachedTokens >= tokens * HIT_SHARE
      if (holder) {
        server.retention.recordLookup(now - holder.usedAt, hit)
      }
      if (homes.includes(server)) {
        this.prefixes.recordHomeHit(record, depth, hit)
      }
      if (hit) {
        record.addHolder(server, now)
      } else {
        record.removeHolder(server)
      }
    }
  }

  /** Records that the prefill is done and the server has cached every level. */
  recordPrefilled (levels: readonly LevelHomes[], server: Server, now: number): void {
    levels.forEach(({ record }) => record.addHolder(server, now))
  }

  private placeByBaseline (policy: Baseline, request: PlacementRequest): Placement | undefined {
    const { job } = request
    const servers = this.options.fleet.readyFor(job.model)
      .filter(server => server.load.outstanding < server.configured.slots)
    if (servers.length === 0) {
      return undefined
    }
    const candidates = rankByBaseline(policy, { job, servers, random: this.options.random, placementCount: this.placementCount++ })
    const server = this.options.fleet.get(candidates[0]?.server ?? '')
    return server && {
      server,
      isHeld: false,
      waitMs: 0,
      expectedMs: server.prefillMs(job.promptTokens),
      promptTokens: job.promptTokens,
      cachedTokens: 0,
      levels: [],
      candidates: candidates.slice(0, EXPLAINED_CANDIDATES)
    }
  }

  private placeByFirstToken (request: PlacementRequest): Placement | undefined {
    const { job, weightsVersion, now } = request
    const { fleet, random, distanceTo } = this.options
    const servers = fleet.readyFor(job.model)
    if (servers.length === 0) {
      return undefined
    }
    const ranked = fleet.rankerFor(job.model)
    const levels = computeHomes(this.prefixes, { job, weightsVersion, ranked, epoch: fleet.epoch })
    const input = { job, levels, distanceTo, recomputationPrice: recomputationPrice(fleet.utilisation) * request.recomputationWeight, failedAt: request.failedAt, serviceMs: request.serviceMs, now }
    const candidates = request.isSuspect ? collectSuspectCandidates(job, ranked, this.position, now) : collectCandidates(job, servers, levels, random, now)
    const offers = candidates
      .filter(server => request.isEligible(server))
      .map(server => createOffer(scoreServer(server, input), request))
      .sort((a, b) => a.cost - b.cost)
    const chosen = this.chooseOffer(offers)
    return chosen && {
      server: chosen.scored.server,
      isHeld: !chosen.isOpen,
      waitMs: chosen.scored.waitMs,
      expectedMs: chosen.scored.firstTokenMs,
      promptTokens: job.promptTokens,
      cachedTokens: chosen.scored.cachedTokens,
      levels,
      candidates: offers.slice(0, EXPLAINED_CANDIDATES).map(({ scored, cost }) => ({ server: scored.server.name, cost }))
    }
  }

  /**
   * Draws among the open servers whose cost is about equal to the lowest one. If
   * the best server were always chosen, all instances that read the same load
   * report would choose the same server.
   */
  private chooseOffer (offers: readonly Offer[]): Offer | undefined {
    const best = offers[0]
    if (!best) {
      return undefined
    }
    const limit = best.cost + Math.max(EQUAL_COST_MS, best.cost * EQUAL_COST_SHARE)
    const equal = offers.filter(({ isOpen, cost }) => isOpen && cost <= limit)
    return equal[this.options.random.below(equal.length)] ?? best
  }
}

/**
 * The cost of a full server includes the wait for it. A job whose wait exceeds
 * the expected one is behind something that the estimate does not see, so the
 * cost rises with each millisecond until another server is cheaper.
 */
function createOffer (scored: ScoredServer, { hasRoom, overdueMs }: PlacementRequest): Offer {
  const isOpen = hasRoom(scored.server) && !(scored.isWarming && overdueMs === 0)
  return { scored, isOpen, cost: isOpen ? scored.cost : scored.cost + overdueMs }
}
