/** State of the scheduler for the dump of a process. */
import { Standing } from './servers/serverHealth.js'
import type { Server } from './servers/server.js'

/** One backend server as this instance sees it. */
export interface ServerSummary {
  readonly outstanding: number
  /** Requests of all instances, from the last report and the sends since. */
  readonly occupancy: number
  readonly room: number
  /** How many times slower than its peers; 1 when it is not slower. */
  readonly slowness: number
  readonly standing: Standing
  /** Time of the next probe of an ejected server, milliseconds of Unix time; 0 when the server is open. */
  readonly probeAt: number
  readonly leaving: boolean
  readonly incarnation: string
}

/** Plain data; its size is bounded by the number of servers and rules. */
export interface SchedulerState {
  readonly waiting: number
  readonly running: number
  readonly outstanding: Readonly<Record<string, number>>
  readonly leaving: readonly string[]
  readonly servers: Readonly<Record<string, ServerSummary>>
  /** Number of known prefixes, which is bounded. */
  readonly prefixes: number
  readonly suspects: number
  readonly retriesLeft: number
  /** Served cost a millisecond while jobs wait. */
  readonly drainRate: number
  readonly refusedByRule: Readonly<Record<string, number>>
}

/** Input from which the dump is made. */
export interface DumpInput extends Pick<SchedulerState, 'waiting' | 'running' | 'prefixes' | 'suspects' | 'retriesLeft' | 'drainRate' | 'refusedByRule'> {
  readonly servers: readonly Server[]
  readonly now: number
}

function summarizeServer (server: Server, now: number): ServerSummary {
  const { health, load } = server
  return {
    outstanding: load.outstanding,
    occupancy: load.occupancy(now),
    room: server.room(now),
    slowness: Math.round(health.slowness * 100) / 100,
    standing: health.standing,
    probeAt: health.standing === Standing.Ejected ? health.probeAt : 0,
    leaving: server.leaving,
    incarnation: server.incarnation
  }
}

export function dumpScheduler ({ servers, now, ...counts }: DumpInput): SchedulerState {
  return {
    ...counts,
    outstanding: Object.fromEntries(servers.map(({ name, load }) => [name, load.outstanding])),
    leaving: servers.filter(({ leaving }) => leaving).map(({ name }) => name),
    servers: Object.fromEntries(servers.map(server => [server.name, summarizeServer(server, now)]))
  }
}
