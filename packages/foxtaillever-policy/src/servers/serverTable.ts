/**
 * The table of backend servers and, for each model, the servers ready for new
 * work.
 */
import { ListedState, ServerKind, type BackendServer, type Configuration, type LoadReport } from 'foxtaillever-core'
import { ServerRanker } from '../placement/rendezvous.js'
import { compareServers } from './compareServers.js'
import { rebalanceHomes, updateFullness } from './rebalanceHomes.js'
import { Server } from './server.js'

/** Interval at which each group of peers is compared. */
const COMPARE_INTERVAL_MS = 250

export class ServerTable {
  /** Rises whenever the ready servers or their weights may have changed. */
  epoch = 0
  /** Share of all servers' slots in use at the last comparison, 0 to 1. */
  utilisation = 0
  /** Entry instances, this one included. */
  instances = 1
  private readonly servers = new Map<string, Server>()
  private listed: readonly Server[] = []
  private readonly ready = new Map<string, Server[]>()
  private readonly rankers = new Map<string, ServerRanker>()
  private configuredModels: ReadonlySet<string> = new Set()
  private hasBeenConfigured = false
  private peerGroups: Server[][] = []
  private nextComparisonAt = 0
  private nextGroup = 0

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
    return this.configuredModels.has(model)
  }

  /** The ranker of the servers ready for the model. */
  rankerFor (model: string): ServerRanker {
    const ranker = this.rankers.get(model) ?? ServerRanker.create(this.readyFor(model))
    this.rankers.set(model, ranker)
    return ranker
  }

  configure (configuration: Configuration, now: number): void {
    const language = Object.values(configuration.servers).filter(({ kind }) => kind === ServerKind.Language)
    const names = new Set(language.map(({ name }) => name))
    for (const server of this.servers.values()) {
      if (!names.has(server.name)) {
        server.isRemoved = true
        this.servers.delete(server.name)
      }
    }
    language.forEach(server => this.configureServer(server, now))
    this.configuredModels = new Set(language.flatMap(({ models }) => models))
    this.hasBeenConfigured ||= language.length > 0
    this.rebuild()
  }

  private configureServer (configured: BackendServer, now: number): void {
    const known = this.servers.get(configured.name)
    if (known) {
      known.configure(configured)
      return
    }
    const server = Server.create(configured)
    // A restarted instance adds every server as new, but their caches are not cold.
    if (this.hasBeenConfigured) {
      server.markCold(now)
    }
    this.servers.set(server.name, server)
  }

  applyListedState (name: string, state: ListedState): void {
    const server = this.servers.get(name)
    const leaving = state === ListedState.Leaving
    if (server && server.isListedLeaving !== leaving) {
      server.isListedLeaving = leaving
      this.rebuild()
    }
  }

  /** Records the server's own statement, in a report or by a refusal, whether it is leaving. */
  setStatedLeaving (server: Server, leaving: boolean): void {
    if (server.hasStatedLeaving !== leaving) {
      server.hasStatedLeaving = leaving
      this.rebuild()
    }
  }

  applyLoadReport (name: string, report: LoadReport, now: number): void {
    const server = this.servers.get(name)
    if (!server) {
      return
    }
    this.applyIncarnation(server, report.incarnation, now)
    this.setStatedLeaving(server, report.leaving)
    server.load.instances = this.instances
    server.load.applyReport(report, now)
    updateFullness(server, now)
  }

  /** A new incarnation starts with an empty cache and without a health record. */
  applyIncarnation (server: Server, incarnation: string, now: number): void {
    if (incarnation === '' || server.incarnation === incarnation) {
      return
    }
    if (server.incarnation !== '') {
      server.markCold(now)
      server.load.clearOtherInstances()
      server.health.reset()
      this.setStatedLeaving(server, false)
    }
    server.incarnation = incarnation
  }

  tick (ejectedShare: number, now: number): void {
    if (now < this.nextComparisonAt || this.peerGroups.length === 0) {
      return
    }
    // One group at a time: comparing all groups at once would block the event loop.
    this.nextComparisonAt = now + COMPARE_INTERVAL_MS / this.peerGroups.length
    this.nextGroup = (this.nextGroup + 1) % this.peerGroups.length
    this.utilisation = this.measureUtilisation(now)
    const peers = this.peerGroups[this.nextGroup] as Server[]
    compareServers(peers, { ejectedShare, instances: this.instances, now })
    if (rebalanceHomes(peers)) {
      this.epoch += 1
      this.rankers.clear()
    }
  }

  /** Servers in service with the same models, which should be equally fast. */
  peersOf (server: Server): readonly Server[] {
    return this.peerGroups.find(peers => peers.includes(server)) ?? [server]
  }

  private measureUtilisation (now: number): number {
    let occupiedSlots = 0
    let slots = 0
    for (const server of this.servers.values()) {
      occupiedSlots += Math.min(server.configured.slots, server.load.occupancy(now))
      slots += server.configured.slots
    }
    return occupiedSlots / Math.max(1, slots)
  }

  private rebuild (): void {
    this.epoch += 1
    this.listed = [...this.servers.values()]
    this.ready.clear()
    this.rankers.clear()
    const groups = new Map<string, Server[]>()
    for (const server of this.listed) {
      const models = server.configured.models.filter(model => server.isReadyFor(model))
      models.forEach(model => addToGroup(this.ready, model, server))
      if (models.length > 0) {
        addToGroup(groups, models.join(), server)
      }
    }
    this.peerGroups = [...groups.values()]
  }
}

function addToGroup (groups: Map<string, Server[]>, name: string, server: Server): void {
  const group = groups.get(name)
  if (group) {
    group.push(server)
  } else {
    groups.set(name, [server])
  }
}
