/**
 * One entry instance: the router's core between the callers' side and the
 * adapters to backend servers and platform.
 */
import { randomUUID } from 'node:crypto'
import {
  emptyConfiguration, SeededRandom, SystemClock, waitUntil,
  type BackendServer, type Clock, type Configuration, type LogRecord
} from 'foxtaillever-core'
import { ClaimFold, ClaimKeeper, defaultClaimOptions, foldConfiguration, LogReader } from 'foxtaillever-fleet'
import { EngineClient } from './adapters/engineClient.js'
import { InstanceListClient } from './adapters/instanceListClient.js'
import { LogClient } from './adapters/logClient.js'
import { Accounts } from './callers/accounts.js'
import { CallerServer } from './callers/callerServer.js'
import { RouterCore } from './core/routerCore.js'
import { PlainRouter } from './plain/plainRouter.js'

export interface EntryInstanceOptions {
  readonly name: string
  readonly failureDomain: string
  readonly host: string
  /** 0 lets the system choose. */
  readonly port: number
  readonly logAddress: string
  readonly listAddress: string
  readonly seed: number
  readonly bodyLimitBytes: number
  /** The platform keeps records at least this long, milliseconds. */
  readonly logRetentionMs?: number
  /** Claims of non-idempotent requests are remembered this long, milliseconds. */
  readonly claimKeptMs?: number
}

/** Trusted of the platform's log unless the settings say more, milliseconds. */
const LOG_RETENTION_MS = 600_000

const CLAIM_KEPT_MS = 3_600_000

/** The list lags by itself; reading it more often would not make it newer. */
const LIST_PERIOD_MS = 500

const LOAD_PERIOD_MS = 500

/** Requests in flight get this long after a shutdown began, milliseconds. */
const SHUTDOWN_MS = 60_000

const SHUTDOWN_LOOK_MS = 20

export class EntryInstance {
  private readonly clock: Clock = SystemClock.create()
  private readonly engines = new Map<string, EngineClient>()
  private readonly accounts = Accounts.create()
  private readonly plain: PlainRouter
  private readonly log: LogClient
  private readonly list: InstanceListClient
  private readonly reader: LogReader
  private readonly claims: ClaimKeeper
  private readonly core: RouterCore
  private readonly callers: CallerServer
  private configuration: Configuration = emptyConfiguration
  private accepting = true
  private running = true

  private constructor (private readonly options: EntryInstanceOptions) {
    this.plain = PlainRouter.create(this.clock)
    this.log = LogClient.create(options.logAddress, this.clock)
    this.list = InstanceListClient.create(options.listAddress)
    this.claims = this.createClaims()
    this.reader = LogReader.create(this.log, this.clock,
      [record => this.fold(record), record => this.claims.read(record)],
      (_, page) => this.claims.cover(page))
    this.core = RouterCore.create({
      clock: this.clock,
      random: SeededRandom.create(options.seed),
      failureDomain: options.failureDomain,
      engineOf: server => this.engineOf(server),
      claims: this.claims
    })
    this.callers = CallerServer.create({
      clock: this.clock,
      core: this.core,
      plain: this.plain,
      accounts: this.accounts,
      configuration: () => this.configuration.revision > 0 ? this.configuration : undefined,
      accepting: () => this.accepting,
      bodyLimitBytes: options.bodyLimitBytes
    })
  }

  static create (options: EntryInstanceOptions): EntryInstance {
    return new EntryInstance(options)
  }

  private createClaims (): ClaimKeeper {
    const { name, logRetentionMs = LOG_RETENTION_MS, claimKeptMs = CLAIM_KEPT_MS } = this.options
    const fold = ClaimFold.create({ keptMs: claimKeptMs, logRetentionMs })
    return ClaimKeeper.create(this.log, fold, this.clock, { ...defaultClaimOptions, instance: name, incarnation: `${name}/${randomUUID()}` })
  }

  /** Starts to serve; returns the callers' address. */
  async start (): Promise<string> {
    this.reader.start()
    this.core.start()
    this.watchList()
    this.watchLoad()
    return await this.callers.http.listen({ host: this.options.host, port: this.options.port })
  }

  private fold (record: LogRecord): void {
    const { configuration } = foldConfiguration(this.configuration, record)
    if (configuration === this.configuration) {
      return
    }
    this.configuration = configuration
    this.accounts.configure(configuration)
    this.core.configure(configuration)
  }

  private engineOf (server: BackendServer): EngineClient {
    const engine = this.engines.get(server.address) ?? EngineClient.create(server.address)
    this.engines.set(server.address, engine)
    return engine
  }

  private async watchList (): Promise<void> {
    while (this.running) {
      const listed = await this.list.list()
      listed.ifRight(instances => this.core.observeList(instances))
      await waitUntil(this.clock, this.clock.now() + LIST_PERIOD_MS)
    }
  }

  private async watchLoad (): Promise<void> {
    while (this.running) {
      const servers = Object.values(this.configuration.servers).filter(server => server.models.length > 0)
      await Promise.all(servers.map(async server => {
        const report = await this.engineOf(server).load()
        report.ifRight(load => this.core.observeLoad(server.name, load))
      }))
      await waitUntil(this.clock, this.clock.now() + LOAD_PERIOD_MS)
    }
  }

  /** Takes nothing new, finishes what is in flight, ends by a stored deadline. */
  async stop (): Promise<void> {
    this.accepting = false
    const deadline = this.clock.now() + SHUTDOWN_MS
    while (this.core.inFlight() > 0 && this.clock.now() < deadline) {
      await waitUntil(this.clock, this.clock.now() + SHUTDOWN_LOOK_MS)
    }
    this.core.endAll()
    this.running = false
    this.reader.stop()
    this.core.stop()
    await this.callers.http.close()
    await Promise.all([...this.engines.values()].map(async engine => await engine.close()))
    await Promise.all([this.plain.close(), this.log.close(), this.list.close()])
  }

  dump (): unknown {
    return { name: this.options.name, offset: this.reader.offset(), core: this.core.dump() }
  }
}
