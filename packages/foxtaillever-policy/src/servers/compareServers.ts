/**
 * Compares backend servers with their peers and ejects those that are much
 * slower.
 *
 * A slow server (a failing disk, a hot accelerator) answers correctly, so
 * nothing fails, but every request that it gets is late. The symptom is a p99
 * many times the median while one server's queue never empties. Two rules keep a
 * fleet-wide slowdown from ejecting the fleet: servers are compared with the
 * median of their peers instead of a fixed time, and the ejected share is
 * bounded.
 */
import { Standing } from './serverHealth.js'
import type { Server } from './server.js'

/** Up to this factor over the peers' median, a server counts as equally fast. */
const SLOW_RATIO = 2

/** Above this factor the server is ejected. Between the two factors its higher cost sends it less work. */
const EJECT_RATIO = 4

/** Answers needed before lateness can eject a server; one late answer is no evidence. */
const MIN_ANSWERS = 3

/** A first token still missing after this time counts as late; slow servers answer too seldom to wait for it. */
const OVERDUE_MS = 250

/** Current lateness: of past answers, or of the oldest pending answer when that is worse. */
function latenessOf (server: Server, now: number): number {
  const ratio = server.health.latenessRatio(now)
  const [oldest] = server.pendingAnswers.values()
  const overdueMs = oldest === undefined ? 0 : now - oldest.sentAt
  if (oldest === undefined || overdueMs < OVERDUE_MS) {
    return ratio
  }
  return Math.max(ratio, overdueMs / Math.max(OVERDUE_MS, oldest.expectedMs))
}

function median (sorted: readonly number[]): number {
  return sorted[(sorted.length - 1) >> 1] ?? 1
}

export interface ComparisonInput {
  /** Maximum share of the peers ejected at once, 0 to 1. */
  readonly ejectedShare: number
  /** Entry instances. */
  readonly instances: number
  readonly now: number
}

/** @param servers the peers: all servers in service with the same models. */
export function compareServers (servers: readonly Server[], input: ComparisonInput): void {
  const { now } = input
  const lateness = servers.map(server => latenessOf(server, now)).sort((a, b) => a - b)
  const medianLateness = Math.max(1, median(lateness))
  for (const server of servers) {
    const factor = latenessOf(server, now) / medianLateness
    server.health.peerLatenessRatio = medianLateness
    server.health.slowness = factor > SLOW_RATIO ? factor : 1
  }
  ejectWorst(servers, input)
}

function isEjectable (server: Server, now: number): boolean {
  const { health } = server
  const overdue = latenessOf(server, now) > health.latenessRatio(now)
  const isSlow = health.slowness > EJECT_RATIO && (health.answerCount >= MIN_ANSWERS || overdue)
  return health.standing === Standing.Open && isSlow
}

function ejectWorst (servers: readonly Server[], { ejectedShare, instances, now }: ComparisonInput): void {
  const worst = servers
    .filter(server => isEjectable(server, now))
    .sort((a, b) => b.health.slowness - a.health.slowness)
  for (const server of worst) {
    if (mayEject(servers, ejectedShare)) {
      server.health.eject(instances, now)
    }
  }
}

/** Whether one more server may be ejected without exceeding the share. */
export function mayEject (servers: readonly Server[], share: number): boolean {
  const ejected = servers.filter(server => server.health.standing === Standing.Ejected).length
  return ejected + 1 <= Math.floor(servers.length * share)
}
