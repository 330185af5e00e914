/**
 * The backend servers as this instance knows them. Entries come from records of
 * the platform's store, read here or told by another instance; the record's
 * offset is the belief's version, so that nothing ever goes back. What is gone
 * stays known as gone for a while, because an older word of it may still come.
 */
import { ServerHealth } from 'foxtaillever-policy/relay/serverHealth'
import { UsualTime } from 'foxtaillever-policy/relay/usualTime'
import { ServerState, type ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import type { KnownServer } from './knownServer.js'
import { ServerConnections } from './serverConnections.js'

/** Connections to a server before the configuration says how many it takes. */
const DEFAULT_CONNECTIONS = 16

/**
 * How long kept connections are not trusted after one of them failed, milliseconds:
 * servers that send second answers or drop idle connections do so for seconds, and
 * all connections that were kept then have run out, twice over.
 */
const DISTRUSTED_MS = 10_000

/**
 * Servers, or what lies between, may forget connections that rest, from 300 ms on,
 * and whatever is sent next on one is lost. A connection less rested than this is
 * likely good, milliseconds.
 */
const RESTED_MS = 250

export interface ServerDirectoryOptions {
  /** The state of a server has changed, or it is new. */
  readonly onChanged: (server: ListedServer, before: ServerState | undefined) => void
  /** Steady milliseconds, for the rest of connections. */
  readonly now?: () => number
}

export class ServerDirectory {
  private readonly servers = new Map<string, KnownServer>()
  private readonly goneAt = new Map<string, number>()
  /** All servers of a service together. */
  private readonly serviceHealth = new Map<string, ServerHealth>()
  /** Until when kept connections to a service's servers are not trusted, milliseconds of Unix time. */
  private readonly distrustedUntil = new Map<string, number>()
  private readonly usualTimes = new Map<string, UsualTime>()
  private routing: Routing | undefined
  /** Instances that share a server's connections. */
  private instances = 1
  /** Changes of weights learned so far. */
  private weightsChanges = 0

  private constructor (private readonly options: ServerDirectoryOptions) {}

  static create (options: ServerDirectoryOptions): ServerDirectory {
    return new ServerDirectory(options)
  }

  configure (routing: Routing): void {
    this.routing = routing
    this.limitConnections()
  }

  observeInstances (count: number): void {
    const instances = Math.max(1, count)
    if (instances !== this.instances) {
      this.instances = instances
      this.limitConnections()
    }
  }

  /** The limits of services and the number of instances may both change after a server was added. */
  private limitConnections (): void {
    this.servers.forEach(({ listed, connections }) => connections.limit(this.mostConnections(listed.service)))
  }

  private mostConnections (service: string): number {
    const most = this.routing?.services.get(service)?.mostConnections ?? DEFAULT_CONNECTIONS
    return Math.max(2, Math.floor(most / this.instances))
  }

  /**
   * Takes in an entry; an older one than is known changes nothing.
   * @returns whether the entry says anything else than the one before.
   */
  observe (listed: ListedServer, offset: number): boolean {
    const known = this.servers.get(listed.id)
    if (offset <= (known?.offset ?? this.goneAt.get(listed.id) ?? -1)) {
      return false
    }
    const before = known?.listed.state
    const isNews = known === undefined || !saysSame(known.listed, listed)
    const server = known ?? this.add(listed, offset)
    // A server that said it leaves does not come back under the same id.
    const state = before === ServerState.Draining ? ServerState.Draining : listed.state
    server.listed = { ...listed, state }
    server.offset = offset
    listed.weights.forEach((version, model) => this.observeWeights(listed.id, model, version))
    if (before !== state) {
      this.options.onChanged(server.listed, before)
    }
    return isNews
  }

  /** The entry was removed: the server has left, or was silent for too long. */
  remove (id: string, offset: number): void {
    const known = this.servers.get(id)
    if (offset <= (known?.offset ?? this.goneAt.get(id) ?? -1)) {
      return
    }
    this.goneAt.set(id, offset)
    if (known) {
      this.servers.delete(id)
      known.connections.close()
      this.options.onChanged({ ...known.listed, state: ServerState.Gone }, known.listed.state)
    }
  }

  /** A full reading of the list up to the offset: what it does not name is gone. */
  retain (ids: ReadonlySet<string>, end: number): void {
    for (const [id, { offset }] of this.servers) {
      if (!ids.has(id) && offset < end) {
        this.remove(id, end - 1)
      }
    }
  }

  get (id: string): KnownServer | undefined {
    return this.servers.get(id)
  }

  all (): readonly KnownServer[] {
    return [...this.servers.values()]
  }

  /** Servers of a service that may get new work. */
  ready (service: string): KnownServer[] {
    return this.all().filter(({ listed }) => listed.service === service && listed.state === ServerState.Ready)
  }

  /** Weights only rise within one start of a server. */
  observeWeights (id: string, model: string, version: number): void {
    const server = this.servers.get(id)
    if (server && version > (server.weights.get(model) ?? -1)) {
      server.weights.set(model, version)
      server.weightsOrder = this.weightsChanges++
      endChange(server, model, version)
    }
  }

  /** How long requests of a route usually wait for the beginning of their answer. */
  usualTimeOf (route: string): UsualTime {
    let usual = this.usualTimes.get(route)
    if (!usual) {
      usual = UsualTime.create()
      this.usualTimes.set(route, usual)
    }
    return usual
  }

  /** What the faults and the slowness of a server make a request there cost, milliseconds. */
  faultCostOf ({ listed, health }: KnownServer, now: number): number {
    return health.cost(now, this.healthOf(listed.service).faultShare(now))
  }

  /** @param ms time until the answer began. */
  observeSuccess (id: string, route: string, ms: number, now: number): void {
    const usual = this.usualTimeOf(route)
    const ratio = usual.ratioOf(ms)
    usual.observe(ms)
    this.observeOutcome(id, health => health.observeGood(now, ratio))
  }

  observeFault (id: string, now: number): void {
    this.observeOutcome(id, health => health.observeBad(now))
  }

  /**
   * A request failed for what came before it on its connection. A server that
   * sends an answer too many does so late, when the next request waits for one,
   * so nothing shows it in time; a new connection has no past. A request that
   * may run once fails for good by it, which costs more than a connection.
   */
  distrustKept (service: string, now: number): void {
    this.distrustedUntil.set(service, now + DISTRUSTED_MS)
  }

  /** Connections that have rested so long are not for requests that may run once, milliseconds. */
  leastRestedMs (service: string, now: number): number {
    return now < (this.distrustedUntil.get(service) ?? 0) ? 0 : RESTED_MS
  }

  /** It turned a request away: it is full, or about to change its weights. */
  observeRefusal (id: string, now: number): void {
    const server = this.servers.get(id)
    if (server) {
      server.refusedAt = now
    }
  }

  /** Memory of an engine of the service, in tokens; 0 where unknown. */
  memoryOf (service: string): number {
    return this.routing?.services.get(service)?.engine?.cacheTokens ?? 0
  }

  private observeOutcome (id: string, count: (health: ServerHealth) => void): void {
    const server = this.servers.get(id)
    if (server) {
      count(server.health)
      count(this.healthOf(server.listed.service))
    }
  }

  private healthOf (service: string): ServerHealth {
    let health = this.serviceHealth.get(service)
    if (!health) {
      health = ServerHealth.create()
      this.serviceHealth.set(service, health)
    }
    return health
  }

  private add (listed: ListedServer, offset: number): KnownServer {
    const connections = ServerConnections.create({
      address: listed.address,
      now: this.options.now,
      mostConnections: this.mostConnections(listed.service)
    })
    const server: KnownServer = {
      listed, offset, connections, weights: new Map(), weightsOrder: 0, outstanding: 0, unreadTokens: 0, heldTokens: 0, refusedAt: 0, health: ServerHealth.create(), newestBegun: 0, changingUntil: 0, changingTo: undefined
    }
    this.servers.set(listed.id, server)
    return server
  }
}

/** News of an earlier change may come after the word that the next one has begun; it does not end that. */
function endChange (server: KnownServer, model: string, version: number): void {
  const { changingTo } = server
  if (changingTo === undefined || changingTo.model !== model || version >= changingTo.version) {
    server.changingUntil = 0
  }
}

/** Two entries of one server that differ by their heartbeat alone. */
function saysSame (one: ListedServer, other: ListedServer): boolean {
  return one.state === other.state && one.address === other.address && one.service === other.service && one.slots === other.slots &&
    one.coldLeftMs === other.coldLeftMs && one.weights.size === other.weights.size &&
    [...one.weights].every(([model, version]) => other.weights.get(model) === version)
}
