/**
 * Scores a backend server for a job by one cost in one unit: expected
 * milliseconds until the first token, from the server's queue and the prompt
 * tokens that it has not cached. Prefix affinity and load are two terms of this
 * cost instead of two rules that conflict.
 */
import type { Job } from '../job.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import { SPILL_SERVERS, type LevelHomes } from './homes.js'

/** A job waits for a prefill in progress when that saves at least this much, milliseconds. */
const MIN_SAVED_MS = 20

/**
 * Factor on the wasted prefill of a server that is not next in rank: other
 * instances do not consider that server, so they cannot use its copy.
 */
const UNRANKED_COPY_FACTOR = 3

/** Cost of a server where the job has already failed; it is used again only when others cost this much more. */
const RETRY_SAME_SERVER_MS = 1000

/** Base cost of failures in a row: doubled for each one, removed by a success. */
const FAILURE_COST_MS = 50
const MAX_FAILURES_COUNTED = 6

export interface ScoreInput {
  readonly job: Job
  readonly levels: readonly LevelHomes[]
  readonly failedAt: readonly string[]
  /** One-way network latency from this instance to the failure domain, milliseconds. */
  readonly distanceTo: (failureDomain: string) => number
  /** Mean time of a request at a server, milliseconds. */
  readonly serviceMs: number
  /** Cost of one millisecond of prefill that a home server would have saved. */
  readonly recomputationPrice: number
  readonly now: number
}

export interface ScoredServer {
  readonly server: Server
  /** Total cost by which servers are compared, milliseconds; lower is better. */
  readonly cost: number
  /** Expected time to first token, milliseconds. */
  readonly firstTokenMs: number
  /** Wait for a slot, milliseconds; 0 when one is free. */
  readonly waitMs: number
  readonly cachedTokens: number
  /** A prefill in progress on the server will leave more of the prompt in its cache. */
  readonly isWarming: boolean
}

interface CacheEstimate {
  readonly cachedTokens: number
  readonly isWarming: boolean
  /** Remaining time of the prefill in progress, milliseconds. */
  readonly warmingMs: number
}

/** Prompt tokens that the server is expected to have cached. */
export function estimateCachedTokens (levels: readonly LevelHomes[], server: Server, now: number): number {
  let expected = 0
  for (const { record, tokens, homes } of levels) {
    const holder = record.findHolder(server)
    const learntChance = holder === undefined ? 0 : server.retention.chanceCached(now - holder.usedAt)
    const homeChance = homes.includes(server) ? record.homeHit.value * server.warmth(now) : 0
    expected = Math.max(expected, tokens * Math.max(learntChance, homeChance))
  }
  return expected
}

/**
 * Includes prefills in progress: a prompt finds its prefix cached once such a
 * prefill is done. Otherwise ten requests of one cold prefix, sent at once,
 * would prefill it ten times, one after the other.
 */
function estimateCache (levels: readonly LevelHomes[], server: Server, now: number): CacheEstimate {
  const cachedTokens = estimateCachedTokens(levels, server, now)
  for (let index = levels.length - 1; index >= 0; index -= 1) {
    const { record, tokens } = levels[index] as LevelHomes
    if (server.prefillMs(tokens - cachedTokens) < MIN_SAVED_MS) {
      break
    }
    const warming = record.findWarming(server)
    if (warming) {
      return { cachedTokens: tokens, isWarming: true, warmingMs: Math.max(0, warming.readyAt - now) }
    }
  }
  return { cachedTokens, isWarming: false, warmingMs: 0 }
}

/** Expected wait until the server has a free slot for one more request, milliseconds. */
export function estimateSlotWait (server: Server, serviceMs: number, now: number): number {
  const room = server.room(now)
  const ahead = server.load.occupancy(now) + server.heldJobs - room
  return ahead < 0 ? 0 : (ahead + 1) * serviceMs / room
}

function failureCost (server: Server): number {
  const { failuresInRow, standing } = server.health
  return failuresInRow === 0 || standing === Standing.Ejected ? 0 : FAILURE_COST_MS * 2 ** Math.min(failuresInRow, MAX_FAILURES_COUNTED)
}

/**
 * Counts prompt tokens that this server would prefill or keep although their
 * home is another server. The prefill at a home is needed once anyway and serves
 * later requests; any other server repeats it. A copy that is already cached
 * costs no prefill, but its use keeps it cached, and a full cache evicts another
 * prefix for it.
 */
function countWastedTokens (levels: readonly LevelHomes[], server: Server, cachedTokens: number, cacheFullness: number): number {
  let wasted = 0
  let start = 0
  for (const { tokens, homes } of levels.slice(0, -1)) {
    if (!homes.includes(server)) {
      const missing = Math.max(0, tokens - Math.max(start, cachedTokens))
      wasted += missing + (tokens - start - missing) * cacheFullness
    }
    start = tokens
  }
  return wasted
}

function isWithinSpillRank (levels: readonly LevelHomes[], server: Server): boolean {
  const record = levels[0]?.record
  const rank = record?.ranking.indexOf(server) ?? -1
  return rank >= 0 && rank < (record?.homeCount ?? 0) + SPILL_SERVERS
}

/** An ejected server is a candidate only for its probe, so its slowness does not count. */
function slownessFactor ({ health }: Server): number {
  return health.standing === Standing.Ejected ? 1 : health.slowness
}

export function scoreServer (server: Server, input: ScoreInput): ScoredServer {
  const { job, now } = input
  const expected = estimateCache(input.levels, server, now)
  const cachedTokens = Math.min(job.promptTokens, expected.cachedTokens)
  const prefillMs = server.prefillMs(job.promptTokens - cachedTokens)
  const waitMs = estimateSlotWait(server, input.serviceMs, now)
  const queueMs = Math.max(server.prefillMs(server.load.queuedTokens(now)), expected.warmingMs) + waitMs
  const distanceMs = input.distanceTo(server.configured.failureDomain)
  const retrySameServerMs = input.failedAt.includes(server.name) ? RETRY_SAME_SERVER_MS : 0
  const cacheFullness = server.load.cacheFullness(server.configured.cacheTokens)
  const wasted = countWastedTokens(input.levels, server, cachedTokens, cacheFullness)
  const spreadFactor = wasted === 0 || isWithinSpillRank(input.levels, server) ? 1 : UNRANKED_COPY_FACTOR
  const wastedMs = server.prefillMs(wasted) * spreadFactor
  const engineMs = (queueMs + prefillMs + server.stepMs()) * slownessFactor(server)
  return {
    server,
    cost: engineMs + wastedMs * input.recomputationPrice * (1 + cacheFullness) + distanceMs + failureCost(server) + retrySameServerMs,
    firstTokenMs: queueMs + prefillMs + server.stepMs() + 2 * distanceMs,
    waitMs: Math.max(waitMs, expected.warmingMs),
    cachedTokens,
    isWarming: expected.isWarming
  }
}
