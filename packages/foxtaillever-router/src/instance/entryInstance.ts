/**
 * One entry instance, a member of the fleet: connects the router core with the
 * server for callers and the adapters to backend servers and the platform.
 */
import { randomUUID } from 'node:crypto'
import { SeededRandom, SystemClock, waitUntil, type Clock, type Configuration, type Random } from 'foxtaillever-core'
import { Operators } from 'foxtaillever-control'
import { ClaimFold, ClaimManager, createPeerRouter, defaultClaimOptions, Fleet, KeyRing, Permission, TrpcPeers, UdpDatagrams, type Key } from 'foxtaillever-fleet'
import { InstanceListClient } from '../adapters/instanceListClient.js'
import { LogClient } from '../adapters/logClient.js'
import { Accounts } from '../callers/accounts.js'
import { CallerServer } from '../callers/callerServer.js'
import { StreamTokens } from '../callers/streamToken.js'
import { ControlServer } from '../control/controlServer.js'
import { InstanceControl } from '../control/instanceControl.js'
import { Invariants } from '../core/invariants.js'
import { RouterCore } from '../core/routerCore.js'
import { Orders } from '../orders/orders.js'
import { PlainRouter } from '../plain/plainRouter.js'
import { Holding } from 'foxtaillever-policy/relay/processBudget'
import type { ServerGuard } from 'foxtaillever-relay/callers/serverGuard'
import { Part } from 'foxtaillever-telemetry'
import { MetricName } from '../telemetry/metricTable.js'
import { readInvariants } from '../telemetry/readInvariants.js'
import { Telemetry } from '../telemetry/telemetry.js'
import { createGuard } from './createGuard.js'
import { Engines } from './engines.js'
import type { EntryAddresses, EntryInstanceOptions, Listening } from './entryInstanceOptions.js'
import { InstanceListMonitor } from './instanceListMonitor.js'
import { ServerLoadMonitor } from './serverLoadMonitor.js'
import { SoftStateSharing } from './softStateSharing.js'

/** Interval at which a shutdown checks whether the last answer was sent, milliseconds. */
const SHUTDOWN_CHECK_INTERVAL_MS = 20

/** How long a shutdown waits for the last outcomes of claims to be written, milliseconds; enough unless the log is down. */
const OUTCOME_WRITE_TIMEOUT_MS = 1000

/** Minimum duration of a shutdown, milliseconds: other instances learn of it, and load balancers check readiness again. */
const GOODBYE_DELAY_MS = 100

function addressOf ({ host, port }: Listening): string {
  return `${host}:${port}`
}

/**
 * The platform lists the callers' port; all instances of a deployment use the
 * same port for datagrams. A port that the system chose is announced only by its
 * own instance.
 */
function gossipAddressOf (listed: string, port: number): string {
  return port === 0 ? listed : `${listed.slice(0, listed.lastIndexOf(':'))}:${port}`
}

/** Composes the parts of one instance; it is started and stopped once. */
export class EntryInstance {
  private readonly clock: Clock = SystemClock.create()
  private readonly random: Random
  private readonly engines = Engines.create(this.clock)
  private readonly accounts = Accounts.create()
  private readonly keys: KeyRing
  private readonly log: LogClient
  private readonly list: InstanceListClient
  private readonly datagrams: UdpDatagrams
  private readonly telemetry: Telemetry
  private readonly claims: ClaimManager
  private readonly guard: ServerGuard
  private readonly fleet: Fleet
  private readonly core: RouterCore
  private readonly orders: Orders
  private readonly plain: PlainRouter
  private readonly callers: CallerServer
  private control: ControlServer | undefined
  private readonly components: ReadonlyArray<{ readonly start: () => void, readonly stop: () => void }>
  private accepting = true

  private constructor (private readonly options: EntryInstanceOptions) {
    const { clock } = this
    const { name } = options
    this.random = SeededRandom.create(options.seed)
    this.keys = KeyRing.create(options.keys)
    this.log = LogClient.create(options.logAddress, clock)
    this.list = InstanceListClient.create(options.listAddress)
    this.datagrams = UdpDatagrams.create(addressOf(options.gossip))
    this.telemetry = Telemetry.create({ instance: name, clock, logs: options.logs })
    this.guard = createGuard(options)
    if (options.hasOwnProcess === true) {
      this.telemetry.metrics.addProcessMetrics()
    }
    this.claims = this.createClaims()
    this.fleet = this.createFleet()
    this.core = this.createCore()
    this.orders = this.createOrders()
    this.plain = PlainRouter.create({ clock, random: this.random, failureDomain: options.failureDomain, logs: options.logs, claims: this.claims })
    this.callers = this.createCallers()
    this.components = [
      this.core,
      this.orders,
      InstanceListMonitor.create({ clock, list: this.list, core: this.core, plain: this.plain, onError: error => this.logError('The list of instances cannot be applied.', error) }),
      ServerLoadMonitor.create({ clock, name, fleet: this.fleet, core: this.core, engines: this.engines, configuration: () => this.configuration(), onError: error => this.logError('The load of a backend server cannot be applied.', error) }),
      SoftStateSharing.create({ name, clock, fleet: this.fleet, scheduler: this.core.scheduler })
    ]
  }

  static create (options: EntryInstanceOptions): EntryInstance {
    return new EntryInstance(options)
  }

  private createClaims (): ClaimManager {
    const { name, logRetentionMs, claimKeptMs } = this.options
    const fold = ClaimFold.create({ claimRetentionMs: claimKeptMs, logRetentionMs })
    return ClaimManager.create(this.log, fold, this.clock, { ...defaultClaimOptions, instance: name, incarnation: `${name}/${randomUUID()}` })
  }

  private createOrders (): Orders {
    const { clock, random, log, fleet } = this
    const { name } = this.options
    return Orders.create({
      name, incarnation: `${name}/${randomUUID()}`, clock, random, log, configuration: () => this.configuration(), members: () => fleet.members()
    })
  }

  private createFleet (): Fleet {
    const { name, failureDomain, gossip, control, seeds, logRetentionMs } = this.options
    const { clock, random, keys, log, list, datagrams } = this
    return Fleet.create({
      self: { name, failureDomain, address: addressOf(gossip), controlAddress: addressOf(control) },
      seeds,
      log,
      logRetentionMs,
      instances: list,
      gossipAddressOf: ({ address }) => gossipAddressOf(address, gossip.port),
      datagrams,
      peers: TrpcPeers.create(name, keys, clock, random),
      keys,
      clock,
      random,
      readers: [record => this.claims.applyRecord(record), record => this.orders.read(record)],
      onGap: (_, page) => this.claims.updateCoverage(page),
      onLogError: error => this.logError('A record of the log cannot be applied.', error)
    })
  }

  /** Logs and counts an error that nothing of this instance caught. */
  recordUncaughtError (error: unknown): void {
    const { message, stack } = error instanceof Error ? error : new Error(String(error))
    this.telemetry.metrics.count(MetricName.UncaughtErrors, {})
    this.options.logs.write('error', Part.Process, 'Uncaught error; the process keeps running.', { reason: message, stack })
  }

  private logError (sentence: string, error: unknown): void {
    this.options.logs.write('error', Part.Fleet, sentence, { reason: String(error) })
  }

  private createCore (): RouterCore {
    const { failureDomain, distancesMs } = this.options
    return RouterCore.create({
      clock: this.clock,
      random: this.random,
      failureDomain,
      distancesMs,
      engineOf: server => this.engines.of(server),
      claims: this.claims,
      observer: this.telemetry,
      invariants: Invariants.create({
        isFatal: false,
        onViolation: (invariant, detail) => this.options.logs.write('error', Part.Requests, 'An invariant does not hold.', { invariant, detail })
      })
    })
  }

  private createCallers (): CallerServer {
    return CallerServer.create({
      clock: this.clock,
      core: this.core,
      plain: this.plain,
      accounts: this.accounts,
      tokens: StreamTokens.create(this.keys),
      configuration: () => this.fleet.store.hasConfiguration() ? this.configuration() : undefined,
      onRejected: (requestId, failure) => this.telemetry.rejected(requestId, failure),
      accepting: () => this.accepting,
      limits: this.options.limits,
      guard: this.guard
    })
  }

  /** Starts to answer operators and other instances. */
  private async serveControl (server: ControlServer): Promise<void> {
    const { name, failureDomain, logs, operators } = this.options
    const { clock, fleet, core, telemetry, keys } = this
    this.measureFleet()
    await server.serve({
      control: InstanceControl.create({ name, failureDomain, clock, fleet, core, telemetry, logs, orders: this.orders.handler }),
      operators: Operators.create(operators),
      metrics: telemetry.metrics,
      clock,
      peers: createPeerRouter(fleet, keys, clock)
    })
  }

  private measureFleet (): void {
    const { clock, fleet, telemetry } = this
    const startedAt = clock.now()
    telemetry.metrics.onRead(() => Object.values(Holding).map(holding => ({ name: MetricName.HeldBytes, labels: { holding }, value: this.guard.budget.heldBytes(holding) })))
    telemetry.metrics.onRead(() => readInvariants(this.core.invariants))
    telemetry.metrics.onRead(() => [
      { name: MetricName.Revision, value: fleet.store.configuration().revision },
      { name: MetricName.FoldOffset, value: fleet.store.current().offset },
      { name: MetricName.FoldAge, value: (clock.now() - Math.max(startedAt, fleet.logReader().lastReadAt())) / 1000 },
      { name: MetricName.Members, value: fleet.members().length }
    ])
  }

  private configuration (): Configuration {
    return this.fleet.store.configuration()
  }

  /**
   * Starts to serve. Until a configuration is known, from the log or from another
   * instance, callers are answered with "not run".
   */
  async start (): Promise<EntryAddresses> {
    const { listen, control, logs } = this.options
    this.fleet.store.onChange(() => this.configure())
    const gossipAddress = await this.datagrams.bind()
    this.control = await ControlServer.listen(control.host, control.port, this.guard)
    const controlAddress = this.control.address()
    this.fleet.setAddresses({ address: gossipAddress, controlAddress })
    await this.serveControl(this.control)
    await this.fleet.start()
    this.components.forEach(component => component.start())
    const callersAddress = await this.callers.http.listen({ host: listen.host, port: listen.port })
    logs.write('info', Part.Process, 'The instance is serving.', { callers: callersAddress, control: controlAddress, gossip: gossipAddress })
    return { callers: callersAddress, control: controlAddress, gossip: gossipAddress }
  }

  private configure (): void {
    const configuration = this.configuration()
    this.accounts.configure(configuration)
    this.engines.configure(configuration)
    this.plain.configure(configuration)
    this.core.configure(configuration)
    this.options.logs.write('info', Part.Fleet, 'A configuration is in force.', { revision: configuration.revision, preset: configuration.presetInForce })
  }

  /** Replaces the keys shared by instances; the first one is used to sign. */
  replaceKeys (keys: ReadonlyArray<Pick<Key, 'id' | 'secret'>>): void {
    this.keys.replace(keys.map(key => ({ ...key, permissions: [Permission.Join] })))
    this.options.logs.write('info', Part.Process, 'New member keys are in force.', { keys: keys.map(({ id }) => id).join(' ') })
  }

  private logUnsent (): void {
    const { unsentAnswers } = this.callers
    if (unsentAnswers > 0) {
      this.options.logs.write('warn', Part.Callers, 'The shutdown cuts answers whose callers read too slowly.', { unsentAnswers })
    }
  }

  /** Number of requests and plain calls that still wait for their answer. */
  private inFlight (): number {
    return this.core.inFlight() + this.plain.inFlight()
  }

  /** Accepts nothing new, finishes what is in flight, waits until the answers are written out and ends at the drain deadline at the latest. */
  async stop (): Promise<void> {
    const deadline = this.clock.now() + this.options.limits.drainTimeoutMs
    this.accepting = false
    this.fleet.leave()
    this.options.logs.write('info', Part.Process, 'The instance is shutting down.', { inFlight: this.inFlight() })
    const goodbyeUntil = this.clock.now() + GOODBYE_DELAY_MS
    while (this.clock.now() < goodbyeUntil || ((this.inFlight() > 0 || this.callers.unsentAnswers > 0) && this.clock.now() < deadline)) {
      await waitUntil(this.clock, this.clock.now() + SHUTDOWN_CHECK_INTERVAL_MS)
    }
    this.core.failAll()
    this.plain.close()
    await this.claims.stop(this.clock.now() + OUTCOME_WRITE_TIMEOUT_MS)
    this.components.forEach(component => component.stop())
    this.logUnsent()
    await this.callers.http.close()
    await this.control?.close()
    await this.fleet.stop()
    this.engines.close()
    await Promise.all([this.log.close(), this.list.close()])
    this.options.logs.write('info', Part.Process, 'The instance has stopped.')
    this.options.logs.flush()
  }
}
