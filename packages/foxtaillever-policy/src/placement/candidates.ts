/**
 * The few servers weighed for a job: its homes, longest prefix first, those
 * that were met holding it, the next in rank, and some drawn at random. Never
 * all of them: with 700 servers that would cost more than it finds.
 */
import { hashNumber, PriorityClass, type Random } from 'foxtaillever-core'
import type { Job } from '../job.js'
import { Standing } from '../servers/serverHealth.js'
import type { Server } from '../servers/server.js'
import { SPILL_SERVERS, type LevelHomes } from './homes.js'
import type { Ranked } from './rendezvous.js'

/** Up to this many servers all are weighed; today's fleets have six. */
const WEIGH_ALL = 8

/** Most servers weighed for one job. */
const MOST_CANDIDATES = 24

/** The power of two choices: two drawn blindly find a short queue when ranks all have long ones. */
const DRAWN_SERVERS = 2

/** Without other traffic a probe is taken from the priority class once it is this late. */
const PROBE_OVERDUE_MS = 5000

/** An ejected server is a candidate only for its probe: one job at a time that may be repeated. */
export function isSetAside (server: Server, job: Job, now: number): boolean {
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
  if (servers.length <= WEIGH_ALL) {
    servers.forEach(server => found.add(server))
  } else {
    addHomes(found, levels)
    addHolders(found, levels, job.model)
    addSpill(found, levels)
    addDrawn(found, servers, random)
  }
  return [...found].filter(server => !isSetAside(server, job, now))
}

function addHomes (found: Set<Server>, levels: readonly LevelHomes[]): void {
  for (let index = levels.length - 1; index >= 0; index -= 1) {
    for (const home of (levels[index] as LevelHomes).homes) {
      if (found.size < MOST_CANDIDATES) {
        found.add(home)
      }
    }
  }
}

function addHolders (found: Set<Server>, levels: readonly LevelHomes[], model: string): void {
  const longest = levels.at(-1)
  const shared = levels.at(-2)
  for (const level of [longest, shared]) {
    for (const { server, incarnation } of level?.record.heldBy() ?? []) {
      if (server.incarnation === incarnation && server.isReadyFor(model)) {
        found.add(server)
      }
    }
  }
}

function addSpill (found: Set<Server>, levels: readonly LevelHomes[]): void {
  const record = levels[0]?.record
  record?.ranking.slice(record.homeCount, record.homeCount + SPILL_SERVERS).forEach(server => found.add(server))
}

function addDrawn (found: Set<Server>, servers: readonly Server[], random: Random): void {
  for (let drawn = 0; drawn < DRAWN_SERVERS; drawn += 1) {
    found.add(servers[random.below(servers.length)] as Server)
  }
}

/** This instance among all, in order of name; the same order everywhere. */
export interface InstancePlace {
  readonly index: number
  readonly count: number
}

/** Servers that a suspect may be tried at; two, so that one of them is rarely out of reach. */
const SUSPECT_SERVERS = 2

/**
 * Servers for a request that may crash the one it runs at. They are drawn by
 * its own fingerprint, and each instance tries its suspects at servers dealt to
 * it alone: were suspects placed like other work, those of one crash would meet
 * again at one server, sent there by instances that do not know of each other's,
 * and the innocent would be in the second crash, too. With more instances than
 * servers some are dealt none and take any; there suspects may still meet.
 */
export function collectForSuspect (job: Job, ranked: Ranked, place: InstancePlace, now: number): Server[] {
  const ready = ranked.first(hashNumber(job.fingerprint), Infinity).filter(server => !isSetAside(server, job, now))
  const own = ready.filter(server => ranked.servers.indexOf(server) % place.count === place.index)
  return (own.length > 0 ? own : ready).slice(0, SUSPECT_SERVERS)
}
