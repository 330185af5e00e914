/**
 * Reads the engines' load reports.
 *
 * Up to nine instances, each reads every engine itself: nine small answers a
 * period cost an engine nothing, and a report is as fresh as the engine's lag
 * allows. Were 380 instances to do so, each engine would answer 760 questions
 * a second; so in larger fleets a few computed watchers read an engine and tell
 * the others, as soft state, only what they would place differently by: that a
 * queue stands there, that it is leaving, or that it has restarted.
 */
import { ServerKind, waitUntil, type BackendServer, type Clock, type Configuration, type LoadReport } from 'foxtaillever-core'
import { FactKind, homesOf, type Fact, type Fleet } from 'foxtaillever-fleet'
import type { RouterCore } from '../core/routerCore.js'
import type { Engines } from './engines.js'

/** While requests come, milliseconds; engines report with a lag of about this. */
const BUSY_PERIOD_MS = 500

/**
 * Without any, milliseconds. Reading is most of what an idle instance spends;
 * what its first request is placed by may be this old.
 */
const IDLE_PERIOD_MS = 2000

/** An instance without requests for this long is idle, milliseconds. */
const IDLE_AFTER_MS = 5000

/** Below this each instance reads every engine itself; the size of today. */
const SELF_READING_MEMBERS = 9

/** Watchers of one engine in a larger fleet, so that one may be dead unnoticed. */
const WATCHERS = 2

/** A word on load is too old to place by after this, milliseconds. */
const FACT_KEPT_MS = 3000

export interface ServerWatchOptions {
  readonly clock: Clock
  readonly fleet: Fleet
  readonly core: RouterCore
  readonly engines: Engines
  readonly name: string
  readonly configuration: () => Configuration
}

export class ServerWatch {
  private running = true
  /** When a request was last seen in flight, milliseconds of Unix time. */
  private busyAt = 0
  private readonly incarnations = new Map<string, string>()

  private constructor (private readonly options: ServerWatchOptions) {}

  static create (options: ServerWatchOptions): ServerWatch {
    return new ServerWatch(options)
  }

  start (): void {
    this.options.fleet.onFact(fact => this.take(fact))
    this.watch()
  }

  stop (): void {
    this.running = false
  }

  private async watch (): Promise<void> {
    const { clock } = this.options
    while (this.running) {
      const nextAt = clock.now() + this.period(clock.now())
      await Promise.all(this.ownServers().map(async server => await this.read(server)))
      await waitUntil(clock, nextAt)
    }
  }

  private period (now: number): number {
    if (this.options.core.inFlight() > 0) {
      this.busyAt = now
    }
    return now - this.busyAt < IDLE_AFTER_MS ? BUSY_PERIOD_MS : IDLE_PERIOD_MS
  }

  private ownServers (): BackendServer[] {
    const { fleet, name, configuration } = this.options
    const members = fleet.members()
    const servers = Object.values(configuration().servers).filter(server => server.kind === ServerKind.Language)
    if (members.length <= SELF_READING_MEMBERS) {
      return servers
    }
    return servers.filter(server => homesOf(`watch/${server.name}`, members, WATCHERS).some(member => member.name === name))
  }

  private async read (server: BackendServer): Promise<void> {
    const report = await this.options.engines.of(server).load()
    report.ifRight(load => {
      this.options.core.observeLoad(server.name, load)
      this.tell(server.name, load)
    })
  }

  private tell (server: string, load: LoadReport): void {
    const { fleet, clock } = this.options
    const isRestarted = this.incarnations.get(server) !== load.incarnation
    this.incarnations.set(server, load.incarnation)
    const matters = isRestarted || load.leaving || load.waiting > 0
    if (matters && fleet.members().length > SELF_READING_MEMBERS) {
      fleet.share(FactKind.ServerLoad, server, load, clock.now() + FACT_KEPT_MS)
    }
  }

  private take (fact: Fact): void {
    if (fact.kind === FactKind.ServerLoad) {
      this.options.core.observeLoad(fact.key, fact.value as LoadReport)
    }
  }
}
