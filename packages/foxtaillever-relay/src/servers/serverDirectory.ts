/**
 * The backend servers as this instance knows them. Entries come from records of
 * the platform's store, read here or told by another instance; the record's
 * offset is the belief's version, so that nothing ever goes back. What is gone
 * stays known as gone for a while, because an older word of it may still come.
 */
import { ServerState, type ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import type { KnownServer } from './knownServer.js'
import { ServerConnections } from './serverConnections.js'

/** Connections to a server before the configuration says how many it takes. */
const DEFAULT_CONNECTIONS = 16

/** First pause after a fault, milliseconds; doubled with each further one. */
const FAULT_PAUSE_MS = 250

/** Longest pause, milliseconds: a server that came back under its old id gets work again soon. */
const LONGEST_FAULT_PAUSE_MS = 4000

/** One fault alone may be the request's or the network's. */
const FAULTS_TO_AVOID = 2

export interface ServerDirectoryOptions {
  readonly onOpened: (server: ListedServer) => void
  /** The state of a server has changed, or it is new. */
  readonly onChanged: (server: ListedServer, before: ServerState | undefined) => void
}

export class ServerDirectory {
  private readonly servers = new Map<string, KnownServer>()
  private readonly goneAt = new Map<string, number>()
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
  }

  observeInstances (count: number): void {
    this.instances = Math.max(1, count)
  }

  /** Takes in an entry; an older one than is known changes nothing. */
  observe (listed: ListedServer, offset: number): void {
    const known = this.servers.get(listed.id)
    if (offset <= (known?.offset ?? this.goneAt.get(listed.id) ?? -1)) {
      return
    }
    const before = known?.listed.state
    const server = known ?? this.add(listed, offset)
    // A server that said it leaves does not come back under the same id.
    const state = before === ServerState.Draining ? ServerState.Draining : listed.state
    server.listed = { ...listed, state }
    server.offset = offset
    listed.weights.forEach((version, model) => this.observeWeights(listed.id, model, version))
    if (before !== state) {
      this.options.onChanged(server.listed, before)
    }
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
      server.changingUntil = 0
    }
  }

  observeSuccess (id: string): void {
    const server = this.servers.get(id)
    if (server) {
      server.faults = 0
      server.avoidedUntil = 0
    }
  }

  observeFault (id: string, now: number): void {
    const server = this.servers.get(id)
    if (!server) {
      return
    }
    server.faults += 1
    if (server.faults >= FAULTS_TO_AVOID) {
      const pause = FAULT_PAUSE_MS * 2 ** (server.faults - FAULTS_TO_AVOID)
      server.avoidedUntil = now + Math.min(pause, LONGEST_FAULT_PAUSE_MS)
    }
  }

  private add (listed: ListedServer, offset: number): KnownServer {
    const most = this.routing?.services.get(listed.service)?.mostConnections ?? DEFAULT_CONNECTIONS
    const connections = ServerConnections.create({
      address: listed.address,
      mostConnections: Math.max(2, Math.floor(most / this.instances)),
      onOpened: () => this.options.onOpened(listed)
    })
    const server: KnownServer = {
      listed, offset, connections, weights: new Map(), weightsOrder: 0, outstanding: 0, outstandingTokens: 0, faults: 0, avoidedUntil: 0, changingUntil: 0
    }
    this.servers.set(listed.id, server)
    return server
  }
}
