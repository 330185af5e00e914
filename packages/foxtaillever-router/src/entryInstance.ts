/**
 * One entry instance: the router's core between the callers' side and the
 * adapters to backend servers and platform.
 */
import { randomUUID } from 'node:crypto'
import {
  SeededRandom, SystemClock, waitUntil,
  type BackendServer, type Clock, type Configuration
} from 'foxtaillever-core'
import { Operators, type OperatorTokens } from 'foxtaillever-control'
import {
  ClaimFold, ClaimKeeper, createPeerRouter, defaultClaimOptions, Fleet, KeyRing, Permission, TrpcPeers, UdpDatagrams,
  type Key
} from 'foxtaillever-fleet'
import { EngineClient } from './adapters/engineClient.js'
import { InstanceListClient } from './adapters/instanceListClient.js'
import { LogClient } from './adapters/logClient.js'
import { Accounts } from './callers/accounts.js'
import { CallerServer } from './callers/callerServer.js'
import { ControlServer } from './control/controlServer.js'
import { InstanceControl } from './control/instanceControl.js'
import { RouterCore } from './core/routerCore.js'
import { PlainRouter } from './plain/plainRouter.js'
import { Logs, Part } from './telemetry/logs.js'
import { MetricName } from './telemetry/metricTable.js'
import { Telemetry } from './telemetry/telemetry.js'

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
  /** Port for operators and other instances; the system's choice by default. */
  readonly controlPort?: number
  /** UDP port for other instances; the system's choice by default. */
  readonly gossipPort?: number
  /** Addresses for datagrams of some other instances. */
  readonly seeds?: readonly string[]
  /** Who may use the control port; nobody by default. */
  readonly operators?: readonly OperatorTokens[]
  /** Keys by which instances know each other; without any, this one stays alone. */
  readonly memberKeys?: readonly Pick<Key, 'id' | 'secret'>[]
  /** Least level of a line that is logged. */
  readonly logLevel?: string
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

function createKeys (memberKeys: EntryInstanceOptions['memberKeys']): KeyRing {
  // Nobody else knows a key drawn here, so nobody else can join.
  const keys = memberKeys ?? [{ id: 'alone', secret: randomUUID() }]
  return KeyRing.create(keys.map(({ id, secret }) => ({ id, secret, permissions: [Permission.Join] })))
}

export class EntryInstance {
  private readonly clock: Clock = SystemClock.create()
  private readonly engines = new Map<string, EngineClient>()
  private readonly accounts = Accounts.create()
  private readonly plain: PlainRouter
  private readonly log: LogClient
  private readonly list: InstanceListClient
  private readonly claims: ClaimKeeper
  private readonly logs: Logs
  private readonly telemetry: Telemetry
  private readonly core: RouterCore
  private readonly callers: CallerServer
  private readonly keys: KeyRing
  private fleet: Fleet | undefined
  private control: ControlServer | undefined
  /** IP number and port for datagrams of other instances, once started. */
  gossipAddress = ''
  private accepting = true
  private running = true

  private constructor (private readonly options: EntryInstanceOptions) {
    this.plain = PlainRouter.create(this.clock)
    this.log = LogClient.create(options.logAddress, this.clock)
    this.list = InstanceListClient.create(options.listAddress)
    this.claims = this.createClaims()
    this.keys = createKeys(options.memberKeys)
    this.logs = Logs.create({ instance: options.name, level: options.logLevel ?? 'silent', clock: this.clock })
    this.telemetry = Telemetry.create({ instance: options.name, clock: this.clock, logs: this.logs })
    this.core = RouterCore.create({
      clock: this.clock,
      random: SeededRandom.create(options.seed),
      failureDomain: options.failureDomain,
      engineOf: server => this.engineOf(server),
      claims: this.claims,
      observer: this.telemetry
    })
    this.callers = CallerServer.create({
      clock: this.clock,
      core: this.core,
      plain: this.plain,
      accounts: this.accounts,
      configuration: () => this.fleet?.store.isKnown() ? this.fleet.store.configuration() : undefined,
      turnedAway: (requestId, failure) => this.telemetry.turnedAway(requestId, failure),
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
    const { host, port, controlPort = 0 } = this.options
    this.control = await ControlServer.listen(host, controlPort)
    this.fleet = await this.createFleet(this.control.address())
    await this.serveOperators(this.control, this.fleet)
    await this.fleet.start()
    this.core.start()
    this.watchList()
    this.watchLoad()
    const address = await this.callers.http.listen({ host, port })
    this.logs.write('info', Part.Process, 'The instance serves.', { address, control: this.control.address() })
    return address
  }

  /** IP number and port for operators, once started. */
  controlAddress (): string {
    return this.control?.address() ?? ''
  }

  private async createFleet (controlAddress: string): Promise<Fleet> {
    const { name, failureDomain, host, gossipPort = 0, seeds = [], seed, logRetentionMs = LOG_RETENTION_MS } = this.options
    const { clock, log, keys } = this
    const random = SeededRandom.create(seed)
    const datagrams = UdpDatagrams.create(`${host}:${gossipPort}`)
    this.gossipAddress = await datagrams.bind()
    const fleet = Fleet.create({
      self: { name, failureDomain, address: this.gossipAddress, controlAddress },
      seeds,
      log,
      logRetentionMs,
      instances: this.list,
      datagrams,
      peers: TrpcPeers.create(name, keys, clock, random),
      keys,
      clock,
      random,
      readers: [record => this.claims.read(record)],
      onGap: (_, page) => this.claims.cover(page)
    })
    fleet.store.onChange(({ configuration }) => this.configure(configuration))
    return fleet
  }

  private async serveOperators (server: ControlServer, fleet: Fleet): Promise<void> {
    const { name, failureDomain, operators = [] } = this.options
    const { clock, core, telemetry, logs, keys } = this
    const startedAt = clock.now()
    telemetry.metrics.onRead(() => [
      { name: MetricName.Revision, value: fleet.store.configuration().revision },
      { name: MetricName.FoldOffset, value: fleet.store.current().offset },
      { name: MetricName.FoldAge, value: (clock.now() - Math.max(startedAt, fleet.logReader().lastReadAt())) / 1000 },
      { name: MetricName.Members, value: fleet.members().length }
    ])
    await server.serve({
      control: InstanceControl.create({ name, failureDomain, clock, fleet, core, telemetry, logs }),
      operators: Operators.create(operators),
      metrics: telemetry.metrics,
      clock,
      peers: createPeerRouter(fleet, keys, clock)
    })
  }

  private configure (configuration: Configuration): void {
    const { revision, presetInForce } = configuration
    this.accounts.configure(configuration)
    this.core.configure(configuration)
    this.logs.write('info', Part.Fleet, 'A configuration is in force.', { revision, preset: presetInForce })
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
      const servers = Object.values(this.fleet?.store.configuration().servers ?? {}).filter(server => server.models.length > 0)
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
    this.fleet?.leave()
    const deadline = this.clock.now() + SHUTDOWN_MS
    while (this.core.inFlight() > 0 && this.clock.now() < deadline) {
      await waitUntil(this.clock, this.clock.now() + SHUTDOWN_LOOK_MS)
    }
    this.core.endAll()
    this.running = false
    this.core.stop()
    await this.fleet?.stop()
    await this.callers.http.close()
    await this.control?.close()
    await Promise.all([...this.engines.values()].map(async engine => await engine.close()))
    await Promise.all([this.plain.close(), this.log.close(), this.list.close()])
  }

  dump (): unknown {
    return { name: this.options.name, fleet: this.fleet?.dump(), core: this.core.dump() }
  }
}
