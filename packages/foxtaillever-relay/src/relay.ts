/** One instance of the relay. Takes requests from callers, sends them to backend servers, and follows the platform's store. */
import { shareDescriptors } from 'foxtaillever-policy/relay/descriptorShares'
import { ProcessBudget } from 'foxtaillever-policy/relay/processBudget'
import type { Subject } from 'foxtaillever-telemetry'
import { createAdmissionOptions } from './admission/createAdmissionOptions.js'
import { CallerServer } from './callers/callerServer.js'
import { ReadinessServer } from './callers/readinessServer.js'
import { ServerGuard } from './callers/serverGuard.js'
import { createCrashes } from './crashes/createCrashes.js'
import type { CrashProtocol } from './crashes/crashProtocol.js'
import type { QuarantineStore } from './crashes/quarantineStore.js'
import { ExchangeDispatcher } from './exchange/exchangeDispatcher.js'
import { createStoreReplica } from './knowledge/createStoreReplica.js'
import type { StoreReplica } from './knowledge/storeReplica.js'
import { MemberRegistry } from './knowledge/memberRegistry.js'
import { StartCheck } from './knowledge/startCheck.js'
import type { Routing } from './model/routing.js'
import { createOwnReport, applyPeerMessage, applyWeightsNotice, type HeartbeatParts } from './peers/heartbeatContents.js'
import { answerLeaseCall } from './peers/leaseCalls.js'
import { ownLoads } from './peers/ownLoads.js'
import { Peers } from './peers/peers.js'
import type { RelayOptions, RunningSettings } from './relayOptions.js'
import { endOfShutdown, waitForRequests } from './waitForRequests.js'
import { RouteTable } from './routing/routeTable.js'
import { MetricsServer } from './telemetry/metricsServer.js'
import { describePeaks, describeProcess, processLimitsOf, registerMemoryGauges } from './telemetry/processFigures.js'
import { AccountQuotas } from './limits/accountQuotas.js'
import { createLimitProtocols, type LimitProtocols } from './limits/createLimitProtocols.js'
import { createLinks, type Links } from './links/createLinks.js'
import { LimitScope } from './limits/limitMessage.js'
import type { StreamVersions } from './streams/streamVersions.js'
import type { VersionRecords } from './streams/versionRecords.js'
import { createSpeedRegistry } from './servers/speedRegistry.js'
import { createStreamVersions } from './streams/createStreamVersions.js'
import { RelayLog } from './telemetry/relayLog.js'
import { RelayState } from './telemetry/relayState.js'
import { createOrderCoordinator, type OrderCoordinator } from './weights/orderCoordinator.js'

/**
 * A backend server in the same region accepts a connection within some
 * milliseconds, and a busy event loop here may notice it as much later. A
 * server that takes longer is unreachable or gone, and there is still time for
 * an attempt at another server.
 */
const CONNECT_TIMEOUT_MS = 200

/** An instance that starts serves without knowing what crashes the servers from this long after its start, milliseconds, if neither store nor instances answer. */
const QUARANTINES_KNOWN_BY_MS = 2000

/**
 * How long requests that wait at servers keep the cache salt from before an account became isolated, as a share of the
 * bound on configurations: most begin within it and need not be sent again. The rest is for an instance that applies the
 * configuration late.
 */
const WITHDRAWAL_SHARE = 0.5

function medianOf (values: readonly number[]): number | undefined {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]
}

export class Relay {
  private readonly log: RelayLog
  private readonly state: RelayState
  private readonly metricsServer: MetricsServer
  private readonly guard: ServerGuard
  private readonly dispatcher: ExchangeDispatcher
  private readonly crashes: CrashProtocol
  private readonly quarantineStore: QuarantineStore
  private readonly callers: CallerServer
  private readonly readiness: ReadinessServer
  private readonly storeReplica: StoreReplica
  private readonly memberRegistry: MemberRegistry
  private readonly peers: Peers
  private readonly limits: LimitProtocols
  private readonly links: Links
  private readonly streamVersions: StreamVersions
  private readonly versionRecords: VersionRecords
  private readonly orderCoordinator: OrderCoordinator
  private readonly startCheck = StartCheck.create()
  private table: RouteTable | undefined
  /** Since when the instance has been shutting down, milliseconds of Unix time; undefined while it is not. */
  private leavingSince: number | undefined
  /** Resolves when the shutdown that has begun is complete. */
  private stopped = Promise.resolve()
  /** Milliseconds of Unix time. */
  private readonly startedAt: number
  private graceMs: number

  private constructor (private readonly options: RelayOptions) {
    const { clock, logs, callerWire } = options
    this.log = RelayLog.create(logs, service => this.state.summarize(service))
    this.guard = ServerGuard.create({ budget: ProcessBudget.create(processLimitsOf(options)), shares: shareDescriptors(options.descriptors), log: this.log })
    this.graceMs = options.graceMs
    this.startedAt = clock.now()
    const { protocol, store } = createCrashes({
      ...options,
      relayLog: this.log,
      topic: options.topics.quarantines,
      serversTopic: options.topics.servers,
      readServer: options.readers.server,
      serversPosition: () => this.storeReplica.positions.servers,
      peers: () => this.peers,
      directory: () => this.dispatcher.directory,
      onQuarantine: () => this.dispatcher.runs.checkQuarantines(),
      isLeaving: () => this.isLeaving,
      runInBackground: work => this.runInBackground(work)
    })
    this.crashes = protocol
    this.quarantineStore = store
    this.links = createLinks({ ...options, crashes: this.crashes, log: this.log, wire: options.serverWire, connectTimeoutMs: CONNECT_TIMEOUT_MS, dispatcher: () => this.dispatcher, peers: () => this.peers, routing: () => this.table?.routing, budget: this.guard.budget })
    const { versions, records } = createStreamVersions({
      clock,
      log: options.log,
      topic: options.topics.versions,
      relayLog: this.log,
      directory: () => this.dispatcher.directory,
      peers: () => this.peers,
      knowledge: () => this.storeReplica
    })
    this.streamVersions = versions
    this.versionRecords = records
    this.dispatcher = this.createDispatcher()
    this.state = this.createState()
    this.state.registerGauges(this.log.metrics)
    registerMemoryGauges(this.log.metrics, this.guard.budget)
    this.log.metrics.gauge('caller_connections', () => this.callers.openConnections)
    this.metricsServer = MetricsServer.create({
      render: () => this.log.metrics.render(),
      dump: () => this.dump(),
      quarantines: () => this.crashes.quarantines.list(clock.now()).filter(({ isLifted }) => !isLifted),
      liftQuarantine: id => this.crashes.liftAny(id)
    }, this.guard)
    this.peers = this.createPeers()
    this.limits = createLimitProtocols({ clock, quotaTolerance: options.quotaTolerance, peers: this.peers, log: this.log })
    this.storeReplica = this.createReplica()
    this.memberRegistry = this.createMemberRegistry()
    this.orderCoordinator = this.createCoordinator()
    this.callers = CallerServer.create({
      clock,
      wire: callerWire,
      log: this.log,
      table: () => this.usableTable(),
      othersDelayMs: () => medianOf(this.peers.alive().map(peer => peer.delayMs)),
      onExchange: (exchange, answer) => this.dispatcher.runs.start(exchange, answer),
      guard: this.guard
    })
    this.readiness = ReadinessServer.create(() => this.isReady(), this.guard)
  }

  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  async start (): Promise<void> {
    const { callers, readiness, metrics, seeds } = this.options
    this.log.belief('Starting.', { pid: process.pid })
    await this.peers.start()
    this.peers.addAddresses(seeds)
    this.storeReplica.start()
    this.dispatcher.caches.monitor.start()
    this.runInBackground(this.memberRegistry.register())
    this.runInBackground(this.quarantineStore.read())
    this.versionRecords.start()
    await this.callers.listen(callers.host, callers.port)
    await this.readiness.listen(readiness.host, readiness.port)
    if (metrics) {
      this.metricsServer.listen(metrics, reason => this.log.trouble('The address for metrics cannot be used.', { reason }))
    }
    this.log.belief('Started.', {})
  }

  /** Applies settings that changed while the instance runs. */
  applySettings ({ seeds, retryAllowance, graceMs }: RunningSettings): void {
    this.graceMs = graceMs
    this.dispatcher.retries.setAllowance(retryAllowance)
    this.peers.addAddresses(seeds)
  }

  /** Shuts down gracefully: not ready at once, but serving until the load balancer has noticed and the last answer is written out. May be called again meanwhile. */
  async stop (): Promise<void> {
    if (this.isLeaving) {
      this.log.belief('Got another signal to stop; the shutdown goes on.', this.describeUnsent())
    } else {
      this.stopped = this.shutDown()
    }
    await this.stopped
  }

  private async shutDown (): Promise<void> {
    const { clock } = this.options
    this.leavingSince = clock.now()
    this.log.belief('Leaving.', { requests: this.dispatcher.runs.size, ...this.describeUnsent(), ...describeProcess(this.callers.takeLargestDelay()) })
    this.callers.endKeepAlive()
    this.peers.sendHeartbeat()
    await waitForRequests({ clock, graceMs: this.graceMs, stopListening: () => this.callers.stopListening(), unanswered: () => this.dispatcher.runs.size + this.callers.unsent.answers + this.peers.link.openCalls })
    await this.close()
  }

  /** Ends at once, and fails the requests that are still in flight. */
  async close (): Promise<void> {
    this.leavingSince ??= this.options.clock.now()
    this.callers.close()
    this.dispatcher.runs.abort()
    const { links, orderCoordinator, dispatcher, storeReplica, streamVersions, versionRecords, crashes, readiness, metricsServer } = this
    const working = [links.monitor, orderCoordinator.rollout, dispatcher.caches.monitor, storeReplica, streamVersions, versionRecords, crashes]
    working.forEach(part => part.stop())
    const open = [links.client, readiness, metricsServer]
    open.forEach(part => part.close())
    await this.peers.stop()
    this.callers.logUnsent()
    this.log.belief('Stopped.', { ...this.describeUnsent(), ...describeProcess(this.callers.takeLargestDelay()), ...describePeaks(this.guard.budget), callerConnections: this.callers.peakConnections })
  }

  /** Logs and counts an error that nothing of this instance caught. */
  recordUncaughtError (error: unknown): void {
    this.log.uncaught(error)
  }

  /** The state that this instance knows, for an operator. */
  dump (): object {
    return this.state.dump()
  }

  private get isLeaving (): boolean {
    return this.leavingSince !== undefined
  }

  private describeUnsent (): Subject {
    const { answers, bytes } = this.callers.unsent
    return { unsentAnswers: answers, unsentBytes: bytes }
  }

  private createDispatcher (): ExchangeDispatcher {
    const { clock, random, failureDomain, serverWire, cacheStoreCalls, retryAllowance, weightsBoundMs, serverHeartbeatMs } = this.options
    return ExchangeDispatcher.create({
      clock,
      random,
      failureDomain,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      endsAt: () => this.leavingSince === undefined ? Infinity : endOfShutdown(this.leavingSince, this.graceMs),
      wire: serverWire,
      paths: this.links.paths,
      streamVersions: this.streamVersions,
      log: this.log,
      retryAllowance,
      serverHeartbeatMs,
      knownInstances: () => this.peers.limitOwners.stableSince === undefined ? undefined : this.peers.count(),
      weightsBoundMs,
      crashes: this.crashes,
      quota: AccountQuotas.create({ clock, log: this.log, protocol: () => this.limits[LimitScope.Account], revision: () => this.revision }),
      fleetLoad: { of: hash => this.peers.fleetLoad.of(hash) },
      othersTokens: store => this.peers.tokensFrom(store),
      cacheStoreCalls,
      ownAddress: () => this.peers.address,
      watchersOf: store => this.peers.watchers.of(store),
      onLoadChanged: server => this.peers.loadProtocol.noteChange(this.dispatcher.brittle.isBrittle(server)),
      onSpeedSample: ({ hash }, tokens, ms) => this.peers.loadProtocol.addSpeedSample({ server: hash, tokens, ms }),
      onUnreachable: ({ hash }) => this.peers.loadProtocol.reportUnreachable(hash),
      onBackoffRequested: ({ hash }) => this.peers.loadProtocol.reportBackingOff(hash),
      announceNow: () => this.peers.sendHeartbeat(),
      queryLoad: createQuery => this.peers.loadProtocol.query(createQuery()),
      onSaved: level => this.peers.loadProtocol.reportSaved(level),
      limitProtocol: () => this.limits[LimitScope.Server],
      admissionProtocol: () => this.peers.admission,
      onLimitChanged: () => this.peers.sendSoon(),
      onStoreRestarted: () => this.peers.loadProtocol.forgetSaved(),
      weights: { outdatedSince: (model, version) => this.orderCoordinator.rollout.outdatedSince(model, version) },
      routing: () => this.table?.routing,
      onServerChanged: ({ service }) => {
        this.orderCoordinator.rollout.ensureRunning()
        this.streamVersions.handleServersChanged(service)
        this.versionRecords.update(service)
      },
      onMisdirected: ({ server, serverId, expectedWeights }, { prompt }, failure) =>
        this.orderCoordinator.rollout.handleRefusal(server, prompt?.model, failure.serverId === serverId ? expectedWeights : undefined)
    })
  }

  private createState (): RelayState {
    const { options: { name, clock }, dispatcher: { directory, runs } } = this
    return RelayState.create({ name, clock, directory, routing: () => this.table?.routing, peers: () => this.peers, knowledge: () => this.storeReplica, lease: () => this.orderCoordinator.lease, open: () => runs.size, isReady: () => this.isReady(), leavingSince: () => this.leavingSince })
  }

  private createPeers (): Peers {
    const { clock, random, name, failureDomain, peers, fenceLog, topics } = this.options
    return Peers.create({
      clock,
      random,
      name,
      failureDomain,
      ...peers,
      ownReport: () => createOwnReport(this.heartbeatParts()),
      lease: () => this.orderCoordinator.lease.snapshot(),
      recordsFrom: (topic, from) => this.storeReplica.updateSince(topic, from),
      onMessage: message => applyPeerMessage(this.heartbeatParts(), message),
      ownLoads: () => ownLoads(this.dispatcher.directory.all()),
      isQueried: server => this.dispatcher.isQueried(server),
      onRejectionReported: server => this.dispatcher.rooms.recordRejection(server, this.peers.loadProtocol.watchedLoad(server).outstanding),
      ...this.dispatcher.reportHandlers,
      speeds: createSpeedRegistry({ clock, directory: this.dispatcher.directory, log: this.log, peerSpeeds: () => this.peers.likely().flatMap(peer => peer.speeds) }),
      onUnresponsive: peer => this.log.belief('An instance does not answer questions of load; its second is asked.', { peer }),
      onNotice: notice => this.storeReplica.handleNotice(notice),
      onWeights: notice => applyWeightsNotice(this.orderCoordinator, notice),
      onLeaseCall: (request, search, response) => this.runInBackground(answerLeaseCall(fenceLog, topics.lease, request, search, response).catch((error: unknown) => { response.destroy(); throw error })),
      onServerCall: (request, response) => this.links.server.handle(request, response),
      onLimit: message => this.limits[message.scope].receive(message),
      onStreamVersion: message => this.streamVersions.receive(message),
      onCrash: message => this.crashes.receive(message),
      admission: createAdmissionOptions(this.log, this.dispatcher.rooms),
      isLeaving: () => this.isLeaving,
      guard: this.guard,
      processStartedAt: clock.now() - process.uptime() * 1000
    })
  }

  private createReplica (): StoreReplica {
    return createStoreReplica({
      ...this.options,
      relayLog: this.log,
      directory: this.dispatcher.directory,
      peers: this.peers,
      revision: () => this.revision,
      onRouting: routing => this.applyRouting(routing),
      onWeights: (model, version, isStart) => this.orderCoordinator.rollout.addVersion(model, version, isStart),
      onRestored: () => {
        this.runInBackground(this.memberRegistry.registerAgain())
        this.crashes.quarantines.list(this.options.clock.now()).forEach(quarantine => this.runInBackground(this.quarantineStore.write(quarantine)))
      }
    })
  }

  /** Runs work that no request waits for; an unexpected failure is logged. */
  private runInBackground (work: Promise<void>): void {
    work.catch((error: unknown) => this.log.trouble('Work in the background failed.', { reason: String(error) }))
  }

  private createMemberRegistry (): MemberRegistry {
    const { clock, random, log, topics, name } = this.options
    return MemberRegistry.create({
      clock,
      random,
      log,
      topic: topics.members,
      name,
      address: this.peers.address,
      onAddresses: addresses => {
        this.peers.addAddresses(addresses)
        this.dispatcher.setInstanceCount(this.peers.count())
      },
      isLeaving: () => this.isLeaving
    })
  }

  private createCoordinator (): OrderCoordinator {
    const { log, peers, dispatcher: { directory } } = this
    return createOrderCoordinator({
      ...this.options,
      topic: this.options.topics.lease,
      directory,
      peers,
      log,
      isEligible: () => this.storeReplica.hasStore && !this.isLeaving,
      links: this.links.monitor,
      onStoreFailed: () => this.storeReplica.checkStore()
    })
  }

  private heartbeatParts (): HeartbeatParts {
    const { dispatcher, crashes, peers, storeReplica, orderCoordinator, isLeaving, revision, links: { monitor }, callers: { delayMs } } = this
    return { links: monitor.state, delayMs, exchanges: dispatcher, crashes, peers, knowledge: storeReplica, orders: orderCoordinator, isLeaving, revision }
  }

  private isReady (): boolean {
    return !this.isLeaving && this.storeReplica.isComplete && this.usableTable() !== undefined
  }

  private get revision (): number {
    return this.table?.routing.revision ?? -1
  }

  /** The route table; undefined while its configuration may be older than the one that other instances have. */
  private usableTable (): RouteTable | undefined {
    const state = { now: this.options.clock.now(), revision: this.revision, era: this.storeReplica.storeEra, peerRevisions: () => this.peers.alive().map(({ revision }) => revision) }
    return this.table && this.startCheck.isPassed(state) && this.knowsQuarantines() ? this.table : undefined
  }

  /** Without a store and other instances there is nobody to ask. */
  private knowsQuarantines (): boolean {
    return this.quarantineStore.isRead || this.peers.alive().length > 0 || this.options.clock.now() > this.startedAt + QUARANTINES_KNOWN_BY_MS
  }

  /** Sends requests again that wait at servers with a cache salt from before an account became isolated. */
  private withdrawSoon (): void {
    const { clock, configurationBoundMs } = this.options
    clock.at(clock.now() + configurationBoundMs * WITHDRAWAL_SHARE, () => this.dispatcher.runs.checkCacheSalts())
  }

  private applyRouting (routing: Routing): void {
    const before = this.revision
    if (this.table && routing.cacheIsolation.isolatesMoreThan(this.table.routing.cacheIsolation)) {
      this.withdrawSoon()
    }
    this.table = RouteTable.create(routing)
    this.dispatcher.directory.configure(routing)
    this.callers.setLimits(routing.limits)
    this.orderCoordinator.rollout.ensureRunning()
    this.log.belief('A configuration is in force.', { revision: routing.revision, before, routes: routing.routes.length })
  }
}
