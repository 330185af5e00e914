/**
 * Reads the engines' load reports.
 *
 * Up to nine instances, each reads every engine itself: nine small answers per
 * period cost an engine little, and a report is as fresh as the engine's lag
 * allows. With 380 instances, each engine would answer 760 queries a second. So
 * in larger fleets one instance, the home of the engine, reads it and announces
 * to the others as soft state only what changes their placement: that it has a
 * queue, is leaving, or has restarted. When that instance dies, the next one
 * takes over as soon as the members know.
 */
import { ServerKind, waitUntil, type BackendServer, type Clock, type Configuration, type Engine, type LoadReport } from 'foxtaillever-core'
import { FactKind, homeOf, type Fact, type Fleet } from 'foxtaillever-fleet'
import { pipe } from 'fp-ts/lib/function.js'
import { exists } from 'fp-ts/lib/Option.js'
import type { RouterCore } from '../core/routerCore.js'

/** Polling interval while there are requests, milliseconds; about the lag of the engines' reports. */
const BUSY_PERIOD_MS = 500

/**
 * Polling interval without requests, milliseconds. Polling is most of the cost of
 * an idle instance; its first request may be placed by a report this old.
 */
const IDLE_PERIOD_MS = 2000

/** An instance without requests for this long is idle, milliseconds. */
const IDLE_AFTER_MS = 5000

/** Up to this many members, today's fleet, each instance reads every engine itself. */
const MAX_SELF_READING_MEMBERS = 9

/** Minimum interval between two announcements of an engine, milliseconds; at half of it, three engines with queues would use up the budget for facts. */
const ANNOUNCE_INTERVAL_MS = 1000

/** An announced load is too old for placement after this, milliseconds. */
const FACT_KEPT_MS = 3000

/** The last announcement of one engine. */
interface Announcement {
  readonly incarnation: string
  /** Milliseconds of Unix time. */
  readonly nextAt: number
}

/** A load report as a tuple, since field names would take more bytes than the numbers. */
type PackedLoad = readonly [incarnation: string, weightsVersion: string, running: number, waiting: number, waitingTokens: number, cacheTokensUsed: number, leaving: 0 | 1, madeAt: number]

function packLoad (load: LoadReport): PackedLoad {
  return [load.incarnation, load.weightsVersion, load.running, load.waiting, load.waitingTokens, load.cacheTokensUsed, load.leaving ? 1 : 0, Math.floor(load.madeAt)]
}

function unpackLoad ([incarnation, weightsVersion, running, waiting, waitingTokens, cacheTokensUsed, leaving, madeAt]: PackedLoad): LoadReport {
  return { incarnation, weightsVersion, running, waiting, waitingTokens, cacheTokensUsed, leaving: leaving === 1, madeAt }
}

export interface ServerLoadMonitorOptions {
  readonly clock: Clock
  readonly fleet: Pick<Fleet, 'members' | 'announceFact' | 'onFact'>
  readonly core: Pick<RouterCore, 'inFlight' | 'applyLoadReport'>
  readonly engines: { readonly of: (server: BackendServer) => Pick<Engine, 'load'> }
  readonly name: string
  readonly configuration: () => Configuration
  /** Called with an unexpected error; the loads are read again. */
  readonly onError: (error: unknown) => void
}

export class ServerLoadMonitor {
  private running = true
  /** When a request was last seen in flight, milliseconds of Unix time. */
  private busyAt = 0
  private readonly announced = new Map<string, Announcement>()

  private constructor (private readonly options: ServerLoadMonitorOptions) {}

  static create (options: ServerLoadMonitorOptions): ServerLoadMonitor {
    return new ServerLoadMonitor(options)
  }

  start (): void {
    this.options.fleet.onFact(fact => this.applyFact(fact))
    this.poll()
  }

  stop (): void {
    this.running = false
  }

  private async poll (): Promise<void> {
    const { clock, onError } = this.options
    while (this.running) {
      const nextAt = clock.now() + this.period(clock.now())
      await Promise.all(this.serversToRead().map(async server => await this.read(server).catch(onError)))
      await waitUntil(clock, nextAt)
    }
  }

  private period (now: number): number {
    if (this.options.core.inFlight() > 0) {
      this.busyAt = now
    }
    return now - this.busyAt < IDLE_AFTER_MS ? BUSY_PERIOD_MS : IDLE_PERIOD_MS
  }

  private serversToRead (): BackendServer[] {
    const { fleet, name, configuration } = this.options
    const members = fleet.members()
    const servers = Object.values(configuration().servers).filter(server => server.kind === ServerKind.Language)
    if (members.length <= MAX_SELF_READING_MEMBERS) {
      return servers
    }
    return servers.filter(server => pipe(homeOf(`watch/${server.name}`, members), exists(home => home.name === name)))
  }

  private async read (server: BackendServer): Promise<void> {
    const report = await this.options.engines.of(server).load()
    report.ifRight(load => {
      this.options.core.applyLoadReport(server.name, load)
      this.announce(server.name, load)
    })
  }

  private announce (server: string, load: LoadReport): void {
    const { fleet, clock } = this.options
    const now = clock.now()
    const known = this.announced.get(server)
    const isRestarted = known?.incarnation !== load.incarnation
    const matters = isRestarted || load.leaving || load.waiting > 0
    const isSoon = !isRestarted && now < known.nextAt
    if (!matters || isSoon || fleet.members().length <= MAX_SELF_READING_MEMBERS) {
      return
    }
    this.announced.set(server, { incarnation: load.incarnation, nextAt: now + ANNOUNCE_INTERVAL_MS })
    fleet.announceFact(FactKind.ServerLoad, server, packLoad(load), now + FACT_KEPT_MS)
  }

  private applyFact (fact: Fact): void {
    if (fact.kind === FactKind.ServerLoad) {
      this.options.core.applyLoadReport(fact.key, unpackLoad(fact.value as PackedLoad))
    }
  }
}
