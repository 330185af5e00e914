/**
 * Weighs backend servers for a job by one cost in one unit: milliseconds until
 * the first token, made of the queue there and the prompt tokens not cached
 * there. Affinity and load are then no rules that fight, but two terms.
 */
import type { Job } from '../job.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import type { LevelHomes } from './homes.js'

/**
 * A millisecond of prefill done again is paid by this caller once and by those
 * behind it once more: at half load, each millisecond of work delays others by
 * rho / (1 - rho) = 1 ms.
 */
const RECOMPUTATION_WEIGHT = 2

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

/** A probe is to go there, so its lateness does not count. */
function slownessOf ({ health }: Server): number {
  return health.standing === Standing.Ejected ? 1 : health.slowness
}

export function weighServer (server: Server, input: WeighInput): WeighedServer {
  const { job, now } = input
  const cachedTokens = Math.min(job.promptTokens, expectCached(input.levels, server, now))
  const prefillMs = server.prefillMs(job.promptTokens - cachedTokens)
  const waitMs = waitForSlot(server, input.serviceMs, now)
  const queueMs = server.prefillMs(server.load.queuedTokens(now)) + waitMs
  const distanceMs = input.distanceTo(server.configured.failureDomain)
  const failedThereMs = input.failedAt.includes(server.name) ? FAILED_THERE_MS : 0
  const engineMs = (queueMs + RECOMPUTATION_WEIGHT * prefillMs + server.stepMs()) * slownessOf(server)
  return {
    server,
    cost: engineMs + distanceMs + failureCost(server) + failedThereMs,
    firstTokenMs: queueMs + prefillMs + server.stepMs() + 2 * distanceMs,
    waitMs,
    cachedTokens
  }
}
