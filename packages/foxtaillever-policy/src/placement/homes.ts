/**
 * Home servers of a job's prefixes, computed and kept nowhere. Levels nest: the
 * homes of a longer prefix are chosen among the homes of the shorter one, so a
 * client account's instructions lie where their catalogue lies.
 *
 * One home for each prefix (plain prefix affinity) overloads it when the prefix
 * is hot: callers of that prefix see a time to first token that grows without
 * bound while other servers idle. Homes in proportion to heat carry it; homes
 * beyond need would push other prefixes out of the caches, so they are given
 * back when the heat goes.
 */
import type { Job } from '../job.js'
import type { Server } from '../servers/server.js'
import { rankServers, type Ranked } from './rendezvous.js'
import type { PrefixRecord, PrefixTable } from './prefixTable.js'

/** Load that homes are counted for; the rest is room for bursts. */
const TARGET_UTILISATION = 0.5

/** A set shrinks only when one server less would do with this much to spare. */
const SHRINK_MARGIN = 0.25

/** Most homes; more than these are served by spilling to the next in rank. */
export const MOST_HOMES = 16

/** Servers after the homes that take what the homes cannot. */
export const SPILL_SERVERS = 1

/** Levels looked at: the first ones are shared most, the last ones by one conversation. */
const FIRST_LEVELS = 3
const LAST_LEVELS = 3

/** One level with its homes; the ranking goes on past them. */
export interface LevelHomes {
  readonly record: PrefixRecord
  readonly tokens: number
  readonly homes: readonly Server[]
}

export interface HomesInput {
  readonly job: Job
  readonly weightsVersion: string
  readonly ranked: Ranked
  /** Of the table of servers; a ranking made in an older one is made again. */
  readonly epoch: number
}

function levelsOf (job: Job): Job['levels'] {
  const { levels } = job
  if (levels.length <= FIRST_LEVELS + LAST_LEVELS) {
    return levels
  }
  return [...levels.slice(0, FIRST_LEVELS), ...levels.slice(-LAST_LEVELS)]
}

/** Homes of each level, shortest prefix first. */
export function computeHomes (table: PrefixTable, input: HomesInput): LevelHomes[] {
  const result: LevelHomes[] = []
  let among = input.ranked.servers
  for (const level of levelsOf(input.job)) {
    const record = table.use(input.job, input.weightsVersion, level, result.length)
    const first = result.length === 0
    const homes = first ? firstHomes(record, input) : rankServers(record.hash, among, Math.min(record.homeCount, among.length))
    result.push({ record, tokens: level.tokens, homes })
    among = homes
  }
  return result
}

/** The ranking over all servers costs most, so it is kept until they change. */
function firstHomes (record: PrefixRecord, input: HomesInput): readonly Server[] {
  const wanted = Math.min(record.homeCount + SPILL_SERVERS, input.ranked.servers.length)
  if (record.rankingEpoch !== input.epoch || record.ranking.length < wanted) {
    record.ranking = input.ranked.first(record.hash, wanted)
    record.rankingEpoch = input.epoch
  }
  return record.ranking.slice(0, record.homeCount)
}

/**
 * Counts the homes anew from the prefix's heat.
 * @param instances entry instances, each of which sees its part of the heat.
 */
export function resizeHomes (record: PrefixRecord, instances: number, now: number): void {
  const need = record.heatAt(now) * instances / TARGET_UTILISATION
  if (need > record.homeCount) {
    record.homeCount = Math.min(MOST_HOMES, Math.ceil(need))
  } else if (record.homeCount > 1 && need < record.homeCount - 1 - SHRINK_MARGIN) {
    record.homeCount -= 1
  }
}
