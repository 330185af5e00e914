/**
 * Computes the home servers of a job's prefixes; they are not stored. Levels
 * nest: the homes of a longer prefix are chosen among the homes of the shorter
 * one, so a client account's instructions are cached on the same servers as the
 * catalogue before them.
 *
 * One home for each prefix (plain prefix affinity) overloads the home of a hot
 * prefix: its callers see a time to first token that grows without bound while
 * other servers idle. So the number of homes grows with the heat of the prefix.
 * Homes that are not needed would evict other prefixes from the caches, so the
 * number shrinks again when the heat falls.
 */
import type { Job } from '../job.js'
import type { Server } from '../servers/server.js'
import { rankServers, type ServerRanker } from './rendezvous.js'
import type { PrefixRecord, PrefixTable } from './prefixTable.js'

/** Planned utilisation of a home; the rest is room for bursts. */
const TARGET_UTILISATION = 0.5

/** A prefix loses a home only when one home less would suffice by this margin, in homes. */
const SHRINK_MARGIN = 0.25

/** Load beyond what this many homes can take spills to the next servers in rank. */
export const MAX_HOMES = 16

/** Servers ranked directly after the homes, which take what the homes cannot. */
export const SPILL_SERVERS = 1

/** Levels considered: the first ones are shared by most requests, the last ones by one conversation. */
const FIRST_LEVELS = 3
const LAST_LEVELS = 3

/** One prompt level with its homes. */
export interface LevelHomes {
  readonly record: PrefixRecord
  readonly tokens: number
  readonly homes: readonly Server[]
}

export interface HomesInput {
  readonly job: Job
  readonly weightsVersion: string
  readonly ranked: ServerRanker
  /** Epoch of the server table; a ranking from an older epoch is computed again. */
  readonly epoch: number
}

function selectLevels (job: Job): Job['levels'] {
  const { levels } = job
  if (levels.length <= FIRST_LEVELS + LAST_LEVELS) {
    return levels
  }
  return [...levels.slice(0, FIRST_LEVELS), ...levels.slice(-LAST_LEVELS)]
}

/** Homes of each level, shortest prefix first. */
export function computeHomes (table: PrefixTable, input: HomesInput): LevelHomes[] {
  const result: LevelHomes[] = []
  let candidates = input.ranked.servers
  for (const level of selectLevels(input.job)) {
    const record = table.getOrCreate(input.job, input.weightsVersion, level, result.length)
    const isFirst = result.length === 0
    const homes = isFirst ? rankFirstLevel(record, input) : rankServers(record.hash, candidates, Math.min(record.homeCount, candidates.length))
    result.push({ record, tokens: level.tokens, homes })
    candidates = homes
  }
  return result
}

/** Ranking all servers is the most expensive step, so the result is cached until the servers change. */
function rankFirstLevel (record: PrefixRecord, input: HomesInput): readonly Server[] {
  const wanted = Math.min(record.homeCount + SPILL_SERVERS, input.ranked.servers.length)
  if (record.rankingEpoch !== input.epoch || record.ranking.length < wanted) {
    record.ranking = input.ranked.rank(record.hash, wanted)
    record.rankingEpoch = input.epoch
  }
  return record.ranking.slice(0, record.homeCount)
}

/**
 * Updates the number of homes from the prefix's heat.
 * @param instances entry instances, each of which sees its part of the heat.
 */
export function resizeHomes (record: PrefixRecord, instances: number, now: number): void {
  const need = record.heatAt(now) * instances / TARGET_UTILISATION
  if (need > record.homeCount) {
    record.homeCount = Math.min(MAX_HOMES, Math.ceil(need))
  } else if (record.homeCount > 1 && need < record.homeCount - 1 - SHRINK_MARGIN) {
    record.homeCount -= 1
  }
}
