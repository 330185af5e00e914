/**
 * A random history, drawn from a seed, of one instance and servers that state things about
 * themselves in their answers: answers arrive late and out of order, the server list lags and
 * loses entries, late entries of former incarnations arrive between the heartbeats of the current one, servers start
 * again under their ids, some with a clock that was set back. Each server counts the requests that reach it.
 */
import { SeededRandom, type Random } from 'foxtaillever-core'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { Right } from 'purify-ts'
import { noLimit } from '../../model/limitStatement.js'
import { ServerState, type ListedServer } from '../../model/listedServer.js'
import type { ServerStatement } from '../../model/serverStatement.js'
import type { KnownServer } from '../knownServer.js'
import { ServerDirectory } from '../serverDirectory.js'
import { availableFrom, reachableFrom } from '../serverAvailability.js'
import { ServerStatementHandler } from '../serverStatementHandler.js'

const SERVERS = 4
const SIMULATED_MS = 20_000
const REQUEST_MS = 15

/** Required bounds, milliseconds, and the requests in flight that they allow. */
const DRAIN_MS = 2000
const IN_FLIGHT_MS = 500
const MAX_DURING_BACKOFF = 2

/** Maximum durations, milliseconds. */
const CONNECT_MS = 150
const TRANSIT_MS = 30
const WORK_MS = 1500
const LIST_LAG_MS = 6000
const HEARTBEAT_MS = 1200

/** How late a write may take effect, after later ones of the same server, milliseconds. */
const LATE_WRITE_MS = 6000
const BACKOFF_MS = 4000
const OVERLOAD_MS = 5000

/** After this long without changes every backoff has ended, milliseconds. */
const QUIET_MS = LIST_LAG_MS + LATE_WRITE_MS + BACKOFF_MS + OVERLOAD_MS

interface Arrival {
  readonly at: number
  readonly sentAt: number
  readonly startedAt: number
}

interface Backoff {
  readonly at: number
  readonly until: number
  readonly startedAt: number
}

/** The true state of a server. */
class SimulatedServer {
  startedAt = 1
  isLeaving = false
  isBackingOff = false
  readonly arrivals: Arrival[] = []
  readonly backoffs: Backoff[] = []
  /** When the instance learned that an incarnation leaves, by the incarnation's start. */
  readonly leavingReceivedAt = new Map<number, number>()

  constructor (readonly id: string) {}

  entry (): ListedServer {
    const { id, startedAt, isLeaving } = this
    return { id, startedAt, service: 's', address: '127.0.0.1:1', failureDomain: 'd', slots: 8, state: isLeaving ? ServerState.Draining : ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map() }
  }
}

export class StatementHistory {
  private readonly clock = VirtualClock.create()
  private readonly random: Random
  private readonly directory = ServerDirectory.create({ onChanged: () => {}, now: () => this.clock.now(), entryExpiryMs: 3 * HEARTBEAT_MS })
  private readonly statements = ServerStatementHandler.create({
    clock: this.clock,
    directory: this.directory,
    limits: { applyStatement: () => {} },
    brittle: { applyStatement: () => {} },
    onBackoffRequested: () => {},
    log: { leavingStated: () => {}, backoffRequested: () => {}, backoffUnreadable: () => {} }
  })

  private readonly servers = Array.from({ length: SERVERS }, (_, index) => new SimulatedServer(`s${index}`))
  private offset = 0
  /** How late the list shows the servers' heartbeats, milliseconds. */
  private readonly listLagMs: number

  private constructor (seed: number) {
    this.random = SeededRandom.create(seed)
    this.listLagMs = this.random.below(LIST_LAG_MS)
    this.servers.forEach(server => {
      server.startedAt = this.clock.now()
      this.publishEntry(server, 0)
    })
  }

  /** @returns requests that servers got against their statements, and servers that get no work without a reason. */
  static async play (seed: number): Promise<string[]> {
    const history = new StatementHistory(seed)
    const { clock } = history
    const endsAt = clock.now() + SIMULATED_MS
    const changes = Object.values(history.changes)
    const change = (): void => {
      changes[history.random.below(changes.length)]?.(history.draw(history.servers))
      if (clock.now() < endsAt) {
        history.after(history.random.below(2 * REQUEST_MS * SERVERS * SERVERS), change)
      }
    }
    history.servers.forEach(server => history.writeHeartbeats(server, endsAt + QUIET_MS))
    history.sendRequest(endsAt + QUIET_MS)
    history.after(0, change)
    await clock.advanceTo(endsAt + QUIET_MS)
    return [...history.servers.flatMap(server => [...findLeavingViolations(server), ...findBackoffViolations(server)]), ...history.findStarvedServers()]
  }

  private readonly changes: Readonly<Record<string, (server: SimulatedServer) => void>> = {
    leave: server => { server.isLeaving = true },
    backOff: server => {
      server.isBackingOff = true
      this.after(this.random.below(OVERLOAD_MS), () => { server.isBackingOff = false })
    },
    restart: server => {
      // A start takes a moment, so that it is later than what the former process answered.
      Object.assign(server, { startedAt: this.clock.now() + 1, isLeaving: false, isBackingOff: false })
      this.publishEntry(server, this.listLagMs)
    },
    updateEntry: server => this.publishEntry(server, this.listLagMs + this.random.below(LATE_WRITE_MS)),
    removeEntry: server => {
      this.directory.remove(server.id, this.offset++)
      this.publishEntry(server, this.listLagMs + this.random.below(LATE_WRITE_MS))
    },
    report: server => {
      const known = this.directory.get(server.id)
      if (known && reachableFrom(known) <= this.clock.now()) {
        this.directory.recordStart(known, server.startedAt)
      }
    }
  }

  /** The list shows the present state of the server after a delay. */
  private publishEntry (server: SimulatedServer, lagMs: number): void {
    const entry = server.entry()
    this.after(lagMs, () => this.directory.applyEntry(entry, this.offset++))
  }

  /** Shows the server's entry again and again, in the order in which it is written. */
  private writeHeartbeats (server: SimulatedServer, until: number): void {
    this.publishEntry(server, this.listLagMs)
    if (this.clock.now() < until) {
      this.after(HEARTBEAT_MS, () => this.writeHeartbeats(server, until))
    }
  }

  private after (ms: number, task: () => void): void {
    this.clock.at(this.clock.now() + ms, task)
  }

  private draw<Value> (values: readonly Value[]): Value {
    return values[this.random.below(values.length)] as Value
  }

  private sendRequest (until: number): void {
    const now = this.clock.now()
    const available = this.directory.ready('s').filter(server => availableFrom(server) <= now)
    if (available.length > 0) {
      const server = this.draw(available)
      server.stated.recordSent(now)
      this.after(this.random.below(CONNECT_MS), () => this.sendIfReachable(server, now))
    }
    if (now < until) {
      this.after(REQUEST_MS, () => this.sendRequest(until))
    }
  }

  private sendIfReachable (server: KnownServer, sentAt: number): void {
    if (reachableFrom(server) <= this.clock.now()) {
      this.after(this.random.below(TRANSIT_MS), () => this.handleArrival(server, sentAt))
    }
  }

  private handleArrival (known: KnownServer, sentAt: number): void {
    const now = this.clock.now()
    const server = this.servers.find(({ id }) => id === known.listed.id) as SimulatedServer
    const { startedAt, isLeaving, isBackingOff } = server
    server.arrivals.push({ at: now, sentAt, startedAt })
    const restMs = isBackingOff ? this.random.below(BACKOFF_MS) : 0
    if (restMs > 0) {
      server.backoffs.push({ at: now, until: now + restMs, startedAt })
    }
    const statement: ServerStatement = { serverId: this.draw([undefined, server.id]), requestId: undefined, hasRun: !isBackingOff, isLeaving, restMs: Right(restMs), limit: noLimit, maxRejections: noLimit }
    this.after(isBackingOff ? this.random.below(TRANSIT_MS) : this.random.below(WORK_MS), () => {
      // A process that has ended sends no answers.
      if (server.startedAt === startedAt) {
        this.statements.applyStatement(known, statement, sentAt)
        if (isLeaving && !server.leavingReceivedAt.has(startedAt)) {
          server.leavingReceivedAt.set(startedAt, this.clock.now())
        }
      }
    })
  }

  /** Servers that accept requests and are listed but get none. */
  private findStarvedServers (): string[] {
    const now = this.clock.now()
    return this.servers
      .filter(({ id, isLeaving }) => {
        const known = this.directory.get(id)
        return !isLeaving && (known === undefined || availableFrom(known) > now)
      })
      .map(({ id }) => `${id} accepts requests and gets none`)
  }
}

function findLeavingViolations ({ id, arrivals, leavingReceivedAt }: SimulatedServer): string[] {
  return arrivals
    .filter(({ sentAt, startedAt }) => sentAt > (leavingReceivedAt.get(startedAt) ?? Infinity) + DRAIN_MS)
    .map(({ at, startedAt }) => `${id} got a request ${at - (leavingReceivedAt.get(startedAt) ?? 0)} ms after it stated that it leaves`)
}

function findBackoffViolations ({ id, arrivals, backoffs }: SimulatedServer): string[] {
  return backoffs.flatMap(({ at, until, startedAt }) => {
    const late = arrivals.filter(arrival => arrival.startedAt === startedAt && arrival.at > at + IN_FLIGHT_MS && arrival.at < until)
    return late.length > MAX_DURING_BACKOFF ? [`${id} got ${late.length} requests during a backoff of ${until - at} ms`] : []
  })
}
