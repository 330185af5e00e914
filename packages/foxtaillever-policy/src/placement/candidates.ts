/**
 * Selects the few servers that are scored for a job: the homes of its prefixes,
 * longest prefix first, servers seen with a prefix in their cache, the next in
 * rank, and some drawn at random. Scoring all of 700 servers would cost more
 * than it gains.
 */
import { hashNumber, PriorityClass, type Random } from 'foxtaillever-core'
import type { Job } from '../job.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import { SPILL_SERVERS, type LevelHomes } from './homes.js'
import type { ServerRanker } from './rendezvous.js'

/** With at most this many servers, all are scored; today's fleets have six. */
const MAX_SERVERS_ALL_SCORED = 8

/** Homes are added while a job has fewer candidates than this. */
const MAX_CANDIDATES = 24

/** Power of two choices: two random servers find a short queue when all ranked servers have long ones. */
const RANDOM_SERVERS = 2

/** A probe this overdue may use a request of the priority class, when there is no other traffic. */
const PROBE_OVERDUE_MS = 5000

/** An ejected server is a candidate only for its probe: one idempotent job at a time. */
export function isExcluded (server: Server, job: Job, now: number): boolean {
  const { health, load } = server
  if (health.standing !== Standing.Ejected) {
    return false
  }
  const isOverdue = now >= health.probeAt + PROBE_OVERDUE_MS
  const isSuitable = job.idempotent && (job.priority !== PriorityClass.Priority || isOverdue)
  return now < health.probeAt || load.outstanding > 0 || !isSuitable
}

export function collectCandidates (job: Job, servers: readonly Server[], levels: readonly LevelHomes[], random: Random, now: number): Server[] {
  const found = new Set<Server>()
  if (servers.length <= MAX_SERVERS_ALL_SCORED) {
    servers.forEach(server => found.add(server))
  } else {
    addHomes(found, levels)
    addHolders(found, levels, job.model)
    addSpillServers(found, levels)
    addRandomServers(found, servers, random)
  }
  return [...found].filter(server => !isExcluded(server, job, now))
}

function addHomes (found: Set<Server>, levels: readonly LevelHomes[]): void {
  for (let index = levels.length - 1; index >= 0; index -= 1) {
    for (const home of (levels[index] as LevelHomes).homes) {
      if (found.size < MAX_CANDIDATES) {
        found.add(home)
      }
    }
  }
}

function addHolders (found: Set<Server>, levels: readonly LevelHomes[], model: string): void {
  const longest = levels.at(-1)
  const shared = levels.at(-2)
  for (const level of [longest, shared]) {
    for (const { server, incarnation } of level?.record.listHolders() ?? []) {
      if (server.incarnation === incarnation && server.isReadyFor(model)) {
        found.add(server)
      }
    }
  }
}

function addSpillServers (found: Set<Server>, levels: readonly LevelHomes[]): void {
  const record = levels[0]?.record
  record?.ranking.slice(record.homeCount, record.homeCount + SPILL_SERVERS).forEach(server => found.add(server))
}

function addRandomServers (found: Set<Server>, servers: readonly Server[], random: Random): void {
  for (let drawn = 0; drawn < RANDOM_SERVERS; drawn += 1) {
    found.add(servers[random.below(servers.length)] as Server)
  }
}

/** Position of this instance among all instances sorted by name; every instance uses the same order. */
export interface InstancePosition {
  readonly index: number
  readonly count: number
}

/** Servers that may run a suspect request; with two, one is nearly always reachable. */
const SUSPECT_SERVERS = 2

/**
 * Servers for a request that may crash the server it runs on. They are ranked by
 * the fingerprint of the request, and each instance sends its suspects only to
 * its own part of the servers. Placed like other work, the suspects of one crash
 * would meet at one server again, sent by instances that do not know of each
 * other's suspects, and innocent requests would be in the second crash too. With
 * more instances than servers, an instance without servers of its own uses any
 * server, and suspects may still meet there.
 */
export function collectSuspectCandidates (job: Job, ranker: ServerRanker, position: InstancePosition, now: number): Server[] {
  const ready = ranker.rank(hashNumber(job.fingerprint), Infinity).filter(server => !isExcluded(server, job, now))
  const own = ready.filter(server => ranker.servers.indexOf(server) % position.count === position.index)
  return (own.length > 0 ? own : ready).slice(0, SUSPECT_SERVERS)
}
