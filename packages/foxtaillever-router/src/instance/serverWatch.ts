/**
 * Reads the engines' load reports.
 *
 * Up to nine instances, each reads every engine itself: nine small answers a
 * period cost an engine nothing, and a report is as fresh as the engine's lag
 * allows. Were 380 instances to do so, each engine would answer 760 questions
 * a second; so in larger fleets one computed watcher reads an engine and tells
 * the others, as soft state, only what they would place differently by: that a
 * queue stands there, that it is leaving, or that it has restarted. A watcher
 * that dies is followed by the next one as soon as the members know.
 */
import { ServerKind, waitUntil, type BackendServer, type Clock, type Configuration, type Engine, type LoadReport } from 'foxtaillever-core'
import { FactKind, homeOf, type Fact, type Fleet } from 'foxtaillever-fleet'
import { pipe } from 'fp-ts/lib/function.js'
import { exists } from 'fp-ts/lib/Option.js'
import type { RouterCore } from '../core/routerCore.js'

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

/** Between two words on one engine, milliseconds; three queued engines told twice as often would fill what facts may cost. */
const TOLD_EVERY_MS = 1000

/** A word on load is too old to place by after this, milliseconds. */
const FACT_KEPT_MS = 3000

/** What was last told of one engine. */
interface Told {
  readonly incarnation: string
  /** Milliseconds of Unix time. */
  readonly nextAt: number
}

/** A load report by position, since names would cost more bytes than numbers. */
type PackedLoad = readonly [incarnation: string, weightsVersion: string, running: number, waiting: number, waitingTokens: number, cacheTokensUsed: number, leaving: 0 | 1, madeAt: number]

function packLoad (load: LoadReport): PackedLoad {
  return [load.incarnation, load.weightsVersion, load.running, load.waiting, load.waitingTokens, load.cacheTokensUsed, load.leaving ? 1 : 0, Math.floor(load.madeAt)]
}

function unpackLoad ([incarnation, weightsVersion, running, waiting, waitingTokens, cacheTokensUsed, leaving, madeAt]: PackedLoad): LoadReport {
  return { incarnation, weightsVersion, running, waiting, waitingTokens, cacheTokensUsed, leaving: leaving === 1, madeAt }
}

export interface ServerWatchOptions {
  readonly clock: Clock
  readonly fleet: Pick<Fleet, 'members' | 'announceFact' | 'onFact'>
  readonly core: Pick<RouterCore, 'inFlight' | 'observeLoad'>
  readonly engines: { readonly of: (server: BackendServer) => Pick<Engine, 'load'> }
  readonly name: string
  readonly configuration: () => Configuration
}

export class ServerWatch {
  private running = true
  /** When a request was last seen in flight, milliseconds of Unix time. */
  private busyAt = 0
  private readonly told = new Map<string, Told>()

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
    return servers.filter(server => pipe(homeOf(`watch/${server.name}`, members), exists(home => home.name === name)))
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
    const now = clock.now()
    const known = this.told.get(server)
    const isRestarted = known?.incarnation !== load.incarnation
    const matters = isRestarted || load.leaving || load.waiting > 0
    const isSoon = !isRestarted && now < known.nextAt
    if (!matters || isSoon || fleet.members().length <= SELF_READING_MEMBERS) {
      return
    }
    this.told.set(server, { incarnation: load.incarnation, nextAt: now + TOLD_EVERY_MS })
    fleet.announceFact(FactKind.ServerLoad, server, packLoad(load), now + FACT_KEPT_MS)
  }

  private take (fact: Fact): void {
    if (fact.kind === FactKind.ServerLoad) {
      this.options.core.observeLoad(fact.key, unpackLoad(fact.value as PackedLoad))
    }
  }
}
