/**
 * Weighs backend servers for a job by one cost in one unit: milliseconds until
 * the first token, made of the queue there and the prompt tokens not cached
 * there. Affinity and load are then no rules that fight, but two terms.
 */
import type { Job } from '../job.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import { SPILL_SERVERS, type LevelHomes } from './homes.js'

/** A prefill under way is waited for when that saves at least this much, milliseconds. */
const LEAST_SAVED_MS = 20

/**
 * A copy at a server that is not next in rank is of no use to other instances,
 * which would not look there, and is wasted so many times over.
 */
const UNRANKED_FACTOR = 3

/** A server that a job has failed at is taken again only when others are this much worse. */
const FAILED_THERE_MS = 1000

/** Each failure in a row costs this, doubled for each more, until a success. */
const FAILURE_COST_MS = 50
const MOST_FAILURES_COUNTED = 6

export interface WeighInput {
  readonly job: Job
  readonly levels: readonly LevelHomes[]
  readonly failedAt: readonly string[]
  /** One way from this instance to the failure domain, milliseconds. */
  readonly distanceTo: (failureDomain: string) => number
  /** Mean time of a request at a server, milliseconds. */
  readonly serviceMs: number
  /** Price of a millisecond of prefill that a home would have spared. */
  readonly recomputationPrice: number
  readonly now: number
}

export interface WeighedServer {
  readonly server: Server
  /** What the choice goes by, milliseconds; lower is better. */
  readonly cost: number
  /** Expected time to first token, milliseconds. */
  readonly firstTokenMs: number
  /** Wait for a slot, milliseconds; 0 when one is free. */
  readonly waitMs: number
  readonly cachedTokens: number
  /** A prefill under way there will leave more of the prompt cached. */
  readonly isWarming: boolean
}

interface Expectation {
  readonly cachedTokens: number
  readonly isWarming: boolean
  /** Wait for the prefill under way, milliseconds. */
  readonly warmingMs: number
}

/** Prompt tokens that the server is expected to have cached. */
export function expectCached (levels: readonly LevelHomes[], server: Server, now: number): number {
  let expected = 0
  for (const { record, tokens, homes } of levels) {
    const holder = record.holderAt(server)
    const learnt = holder === undefined ? 0 : server.retention.chance(now - holder.usedAt)
    const computed = homes.includes(server) ? record.homeHit.value * server.warmth(now) : 0
    expected = Math.max(expected, tokens * Math.max(learnt, computed))
  }
  return expected
}

/**
 * A prompt whose prefix is being prefilled right now finds it cached once that
 * is done. Ten requests of one cold prefix, sent at once, would do the prefill
 * ten times, one after the other.
 */
function expectWithWarming (levels: readonly LevelHomes[], server: Server, now: number): Expectation {
  const cachedTokens = expectCached(levels, server, now)
  for (let index = levels.length - 1; index >= 0; index -= 1) {
    const { record, tokens } = levels[index] as LevelHomes
    if (server.prefillMs(tokens - cachedTokens) < LEAST_SAVED_MS) {
      break
    }
    const warming = record.warmingAt(server)
    if (warming) {
      return { cachedTokens: tokens, isWarming: true, warmingMs: Math.max(0, warming.readyAt - now) }
    }
  }
  return { cachedTokens, isWarming: false, warmingMs: 0 }
}

/** Time until a slot is free for one more, milliseconds. */
export function waitForSlot (server: Server, serviceMs: number, now: number): number {
  const room = server.room(now)
  const ahead = server.load.occupancy(now) + server.held - room
  return ahead < 0 ? 0 : (ahead + 1) * serviceMs / room
}

function failureCost (server: Server): number {
  const { failuresInRow, standing } = server.health
  return failuresInRow === 0 || standing === Standing.Ejected ? 0 : FAILURE_COST_MS * 2 ** Math.min(failuresInRow, MOST_FAILURES_COUNTED)
}

/**
 * Prompt tokens of levels whose home is elsewhere and that this server has to
 * prefill or to keep. What a home prefills has to be done once anyway, and
 * serves the next one; what any other server prefills is done again. A copy
 * that is there already costs no prefill, but using it keeps it in the cache,
 * and in a full one another prefix goes for it.
 */
function countWasted (levels: readonly LevelHomes[], server: Server, cachedTokens: number, cacheFullness: number): number {
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

function isNextInRank (levels: readonly LevelHomes[], server: Server): boolean {
  const record = levels[0]?.record
  const rank = record?.ranking.indexOf(server) ?? -1
  return rank >= 0 && rank < (record?.homeCount ?? 0) + SPILL_SERVERS
}

/** A probe is to go there, so its lateness does not count. */
function slownessOf ({ health }: Server): number {
  return health.standing === Standing.Ejected ? 1 : health.slowness
}

export function weighServer (server: Server, input: WeighInput): WeighedServer {
  const { job, now } = input
  const expected = expectWithWarming(input.levels, server, now)
  const cachedTokens = Math.min(job.promptTokens, expected.cachedTokens)
  const prefillMs = server.prefillMs(job.promptTokens - cachedTokens)
  const waitMs = waitForSlot(server, input.serviceMs, now)
  const queueMs = Math.max(server.prefillMs(server.load.queuedTokens(now)), expected.warmingMs) + waitMs
  const distanceMs = input.distanceTo(server.configured.failureDomain)
  const failedThereMs = input.failedAt.includes(server.name) ? FAILED_THERE_MS : 0
  const cacheFullness = server.load.cacheFullness(server.configured.cacheTokens)
  const wasted = countWasted(input.levels, server, cachedTokens, cacheFullness)
  const spreadFactor = wasted === 0 || isNextInRank(input.levels, server) ? 1 : UNRANKED_FACTOR
  const wastedMs = server.prefillMs(wasted) * spreadFactor
  const engineMs = (queueMs + prefillMs + server.stepMs()) * slownessOf(server)
  return {
    server,
    cost: engineMs + wastedMs * input.recomputationPrice * (1 + cacheFullness) + distanceMs + failureCost(server) + failedThereMs,
    firstTokenMs: queueMs + prefillMs + server.stepMs() + 2 * distanceMs,
    waitMs: Math.max(waitMs, expected.warmingMs),
    cachedTokens,
    isWarming: expected.isWarming
  }
}
