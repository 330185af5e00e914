/**
 * The table of backend servers and, for each model, those ready to take new
 * work.
 */
import { ListedState, ServerKind, type BackendServer, type Configuration, type LoadReport } from 'foxtaillever-core'
import { Ranked } from '../placement/rendezvous.js'
import { compareServers } from './compareServers.js'
import { observeFullness, rebalance } from './rebalance.js'
import { Server } from './server.js'

/** Peers are compared this often. */
const COMPARE_EVERY_MS = 250

export class ServerTable {
  /** Rises whenever the set of ready servers may have changed. */
  epoch = 0
  /** Of all servers' slots at the last comparison, 0 to 1. */
  utilisation = 0
  /** Entry instances, this one included. */
  instances = 1
  private readonly servers = new Map<string, Server>()
  private listed: readonly Server[] = []
  private readonly ready = new Map<string, Server[]>()
  private readonly ranked = new Map<string, Ranked>()
  private served: ReadonlySet<string> = new Set()
  private configuredBefore = false
  private peers: Server[][] = []
  private compareAt = 0
  private compareNext = 0

  private constructor () {}

  static create (): ServerTable {
    return new ServerTable()
  }

  get (name: string): Server | undefined {
    return this.servers.get(name)
  }

  list (): readonly Server[] {
    return this.listed
  }

  /** Servers that may take new work for the model, ejected ones included. */
  readyFor (model: string): readonly Server[] {
    return this.ready.get(model) ?? []
  }

  /** Whether any server is configured for the model, ready or not. */
  isServed (model: string): boolean {
    return this.served.has(model)
  }

  /** The same servers, made ready for ranking. */
  rankedFor (model: string): Ranked {
    const ranked = this.ranked.get(model) ?? Ranked.create(this.readyFor(model))
    this.ranked.set(model, ranked)
    return ranked
  }

  configure (configuration: Configuration, now: number): void {
    const language = Object.values(configuration.servers).filter(({ kind }) => kind === ServerKind.Language)
    const names = new Set(language.map(({ name }) => name))
    for (const server of this.servers.values()) {
      if (!names.has(server.name)) {
        server.removed = true
        this.servers.delete(server.name)
      }
    }
    language.forEach(server => this.put(server, now))
    this.served = new Set(language.flatMap(({ models }) => models))
    this.configuredBefore ||= language.length > 0
    this.rebuild()
  }

  private put (configured: BackendServer, now: number): void {
    const known = this.servers.get(configured.name)
    if (known) {
      known.configure(configured)
      return
    }
    const server = Server.create(configured)
    // A restarted instance meets every server anew; they are not cold for that.
    if (this.configuredBefore) {
      server.markCold(now)
    }
    this.servers.set(server.name, server)
  }

  observeListed (name: string, state: ListedState): void {
    const server = this.servers.get(name)
    const leaving = state === ListedState.Leaving
    if (server && server.listedLeaving !== leaving) {
      server.listedLeaving = leaving
      this.rebuild()
    }
  }

  /** The server itself says, in a report or by a refusal, whether it is leaving. */
  observeLeaving (server: Server, leaving: boolean): void {
    if (server.saidLeaving !== leaving) {
      server.saidLeaving = leaving
      this.rebuild()
    }
  }

  observeLoad (name: string, report: LoadReport, now: number): void {
    const server = this.servers.get(name)
    if (!server) {
      return
    }
    this.observeIncarnation(server, report.incarnation, now)
    this.observeLeaving(server, report.leaving)
    server.load.instances = this.instances
    server.load.observe(report, now)
    observeFullness(server, now)
  }

  /** A new incarnation has an empty cache and a clean record. */
  observeIncarnation (server: Server, incarnation: string, now: number): void {
    if (incarnation === '' || server.incarnation === incarnation) {
      return
    }
    if (server.incarnation !== '') {
      server.markCold(now)
      server.load.reset()
      server.health.reset()
      this.observeLeaving(server, false)
    }
    server.incarnation = incarnation
  }

  tick (ejectedShare: number, now: number): void {
    if (now < this.compareAt || this.peers.length === 0) {
      return
    }
    // One group at a time: comparing all of them at once would hold up the loop.
    this.compareAt = now + COMPARE_EVERY_MS / this.peers.length
    this.compareNext = (this.compareNext + 1) % this.peers.length
    this.utilisation = this.measureUtilisation(now)
    const peers = this.peers[this.compareNext] as Server[]
    compareServers(peers, { ejectedShare, instances: this.instances, now })
    if (rebalance(peers)) {
      this.epoch += 1
      this.ranked.clear()
    }
  }

  /** Servers in service with the same models, which should be as fast. */
  peersOf (server: Server): readonly Server[] {
    return this.peers.find(peers => peers.includes(server)) ?? [server]
  }

  private measureUtilisation (now: number): number {
    let taken = 0
    let slots = 0
    for (const server of this.servers.values()) {
      taken += Math.min(server.configured.slots, server.load.occupancy(now))
      slots += server.configured.slots
    }
    return taken / Math.max(1, slots)
  }

  private rebuild (): void {
    this.epoch += 1
    this.listed = [...this.servers.values()]
    this.ready.clear()
    this.ranked.clear()
    const groups = new Map<string, Server[]>()
    for (const server of this.listed) {
      const models = server.configured.models.filter(model => server.isReadyFor(model))
      models.forEach(model => addTo(this.ready, model, server))
      if (models.length > 0) {
        addTo(groups, models.join(), server)
      }
    }
    this.peers = [...groups.values()]
  }
}

function addTo (groups: Map<string, Server[]>, name: string, server: Server): void {
  const group = groups.get(name)
  if (group) {
    group.push(server)
  } else {
    groups.set(name, [server])
  }
}
