/**
 * The table of backend servers and, for each model, those ready to take new
 * work.
 */
import { ListedState, ServerKind, type BackendServer, type Configuration, type LoadReport } from 'foxtaillever-core'
import { compareServers } from './compareServers.js'
import { Server } from './server.js'

/** Peers are compared this often. */
const COMPARE_EVERY_MS = 250

export class Fleet {
  /** Rises whenever the set of ready servers may have changed. */
  epoch = 0
  private readonly servers = new Map<string, Server>()
  private readonly ready = new Map<string, Server[]>()
  private served: ReadonlySet<string> = new Set()
  private configuredBefore = false
  private compareAt = 0

  private constructor () {}

  static create (): Fleet {
    return new Fleet()
  }

  get (name: string): Server | undefined {
    return this.servers.get(name)
  }

  all (): IterableIterator<Server> {
    return this.servers.values()
  }

  /** Servers that may take new work for the model, ejected ones included. */
  readyFor (model: string): readonly Server[] {
    return this.ready.get(model) ?? []
  }

  /** Whether any server is configured for the model, ready or not. */
  isServed (model: string): boolean {
    return this.served.has(model)
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
    server.load.observe(report, now)
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
    if (now < this.compareAt) {
      return
    }
    this.compareAt = now + COMPARE_EVERY_MS
    this.ready.forEach(servers => compareServers(servers, ejectedShare, now))
  }

  private rebuild (): void {
    this.epoch += 1
    this.ready.clear()
    for (const server of this.servers.values()) {
      for (const model of server.configured.models.filter(model => server.isReadyFor(model))) {
        const servers = this.ready.get(model)
        if (servers) {
          servers.push(server)
        } else {
          this.ready.set(model, [server])
        }
      }
    }
  }
}
