/**
 * Compares backend servers with their peers and sets aside those that stand
 * out.
 *
 * A server that is slow (a failing disk, a hot accelerator) answers correctly,
 * so nothing fails, and every request it gets is late. One notices a p99 many
 * times the median while one server's queue never empties. Comparing with the
 * peers' median and not with a fixed time keeps a fleet-wide slowdown from
 * emptying the fleet, and so does the bound on the share set aside.
 */
import { Standing } from './serverHealth.js'
import type { Server } from './server.js'

/** Below this factor over the peers' median a server is as good as they are. */
const NOTICED = 2

/** Above it the server is set aside. Between the two it gets less by its cost. */
const EJECTED = 4

/** Answers before lateness ejects; one late answer proves nothing. */
const LEAST_ANSWERS = 3

/** A first token this late counts though it has not come; slow servers answer seldom. */
const OVERDUE_MS = 250

/** Lateness now: of answers given, or of the oldest answer owed when that is worse. */
function latenessOf (server: Server, now: number): number {
  const ratio = server.health.ratio(now)
  const [oldest] = server.pending.values()
  const owedMs = oldest === undefined ? 0 : now - oldest.sentAt
  if (oldest === undefined || owedMs < OVERDUE_MS) {
    return ratio
  }
  return Math.max(ratio, owedMs / Math.max(OVERDUE_MS, oldest.expectedMs))
}

function median (sorted: readonly number[]): number {
  return sorted[(sorted.length - 1) >> 1] ?? 1
}

export interface ComparisonInput {
  /** Most of the peers set aside at once, 0 to 1. */
  readonly ejectedShare: number
  /** Entry instances. */
  readonly instances: number
  readonly now: number
}

/** @param servers the peers: all servers in service with the same models. */
export function compareServers (servers: readonly Server[], input: ComparisonInput): void {
  const { now } = input
  const lateness = servers.map(server => latenessOf(server, now)).sort((one, other) => one - other)
  const peers = Math.max(1, median(lateness))
  for (const server of servers) {
    const factor = latenessOf(server, now) / peers
    server.health.peers = peers
    server.health.slowness = factor > NOTICED ? factor : 1
  }
  ejectWorst(servers, input)
}

function isEjectable (server: Server, now: number): boolean {
  const { health } = server
  const overdue = latenessOf(server, now) > health.ratio(now)
  const isSlow = health.slowness > EJECTED && (health.answers >= LEAST_ANSWERS || overdue)
  return health.standing === Standing.Open && isSlow
}

function ejectWorst (servers: readonly Server[], { ejectedShare, instances, now }: ComparisonInput): void {
  const worst = servers
    .filter(server => isEjectable(server, now))
    .sort((one, other) => other.health.slowness - one.health.slowness)
  for (const server of worst) {
    if (mayEject(servers, ejectedShare)) {
      server.health.eject(instances, now)
    }
  }
}

/** Whether one more may be set aside without passing the share. */
export function mayEject (servers: readonly Server[], share: number): boolean {
  const ejected = servers.filter(server => server.health.standing === Standing.Ejected).length
  return ejected + 1 <= Math.floor(servers.length * share)
}
