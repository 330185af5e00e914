/** One instance of the relay: callers on one side, backend servers on the other, the platform's store above. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { waitUntil } from 'foxtaillever-core'
import { CallerServer } from './callers/callerServer.js'
import { ReadinessServer } from './callers/readinessServer.js'
import { CrashSuspects } from './exchange/crashSuspects.js'
import { ExchangeDesk } from './exchange/exchangeDesk.js'
import { createKnowledge } from './knowledge/createKnowledge.js'
import type { Knowledge } from './knowledge/knowledge.js'
import { MemberBook } from './knowledge/memberBook.js'
import { StartCheck } from './knowledge/startCheck.js'
import type { Routing } from './model/routing.js'
import { createOwnWord, takePeerMessage, takeWeightsNotice, type BeatParts } from './peers/beatContents.js'
import { answerLeaseCall } from './peers/leaseCalls.js'
import { ownUses } from './peers/ownUses.js'
import { Peers } from './peers/peers.js'
import type { RelayOptions, RunningSettings } from './relayOptions.js'
import { RouteTable } from './routing/routeTable.js'
import { MetricsServer } from './telemetry/metricsServer.js'
import { AccountQuotas } from './limits/accountQuotas.js'
import { createLimitProtocols, type LimitProtocols } from './limits/createLimitProtocols.js'
import { LimitScope } from './limits/limitMessage.js'
import { RelayLog } from './telemetry/relayLog.js'
import { RelayState } from './telemetry/relayState.js'
import { createOrderOffice, type OrderOffice } from './weights/orderOffice.js'

/** The balancer notices within two seconds that this instance is not ready; until then it sends new connections, milliseconds. */
const STOP_LISTENING_MS = 2600

/**
 * A server in the same region accepts a connection within some milliseconds,
 * and this one's own work may hold up the news of it for as long again; one
 * that does not is cut off or gone, and another may yet answer in time.
 */
const CONNECT_TIMEOUT_MS = 200

/** How often a shutdown looks whether the last answer is out, milliseconds. */
const SHUTDOWN_LOOK_MS = 50

/** Part of the grace that is kept free for the process to end: a quarter of a second of eight, ten times what it takes. */
const GRACE_KEPT_FREE = 0.03

export class Relay {
  private readonly log: RelayLog
  private readonly state: RelayState
  private readonly figures: MetricsServer
  private readonly desk: ExchangeDesk
  private readonly suspects = CrashSuspects.create()
  private readonly callers: CallerServer
  private readonly readiness: ReadinessServer
  private readonly knowledge: Knowledge
  private readonly memberBook: MemberBook
  private readonly peers: Peers
  private readonly limits: LimitProtocols
  private readonly office: OrderOffice
  private readonly startCheck = StartCheck.create()
  private table: RouteTable | undefined
  private isLeaving = false
  private graceMs: number

  private constructor (private readonly options: RelayOptions) {
    const { clock, random, logs, callerWire } = options
    this.log = RelayLog.create(logs, service => this.state.brief(service))
    this.graceMs = options.graceMs
    this.desk = this.createDesk()
    this.state = this.createState()
    this.state.addTo(this.log.metrics)
    this.figures = MetricsServer.create({ render: () => this.log.metrics.render(), dump: () => this.dump() })
    this.peers = this.createPeers()
    this.limits = createLimitProtocols({ clock, quotaTolerance: options.quotaTolerance, peers: this.peers, log: this.log })
    this.knowledge = this.createKnowledge()
    this.memberBook = this.createMemberBook()
    this.office = this.createOffice()
    this.callers = CallerServer.create({
      clock,
      random,
      wire: callerWire,
      log: this.log,
      table: () => this.usableTable(),
      onExchange: (exchange, answer) => this.desk.runs.start(exchange, answer)
    })
    this.readiness = ReadinessServer.create(() => this.isReady())
  }

  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  async start (): Promise<void> {
    const { callers, readiness, metrics, seeds } = this.options
    this.log.belief('Starting.', { pid: process.pid })
    await this.peers.start()
    this.peers.nameAll(seeds)
    this.knowledge.start()
    this.desk.caches.watch.start()
    this.note(this.memberBook.enter())
    await this.callers.listen(callers.host, callers.port)
    await this.readiness.listen(readiness.host, readiness.port)
    if (metrics) {
      this.figures.listen(metrics, reason => this.log.trouble('The address for metrics cannot be used.', { reason }))
    }
    this.log.belief('Started.', {})
  }

  /** Takes over settings that were changed while it runs. */
  apply ({ seeds, retryAllowance, graceMs }: RunningSettings): void {
    this.graceMs = graceMs
    this.desk.retries.setAllowance(retryAllowance)
    this.peers.nameAll(seeds)
  }

  /** Leaves: not ready at once, serving until the balancer has noticed and the last answer is out. */
  async stop (): Promise<void> {
    const { clock } = this.options
    if (this.isLeaving) {
      return
    }
    this.isLeaving = true
    const until = clock.now() + this.graceMs * (1 - GRACE_KEPT_FREE)
    this.log.belief('Leaving.', { requests: this.desk.runs.size })
    this.callers.leave()
    this.peers.send()
    await waitUntil(clock, clock.now() + STOP_LISTENING_MS)
    this.callers.close()
    while (this.desk.runs.size > 0 && clock.now() < until) {
      await waitUntil(clock, clock.now() + SHUTDOWN_LOOK_MS)
    }
    this.desk.runs.abort()
    this.office.desk.stop()
    this.desk.caches.watch.stop()
    this.knowledge.stop()
    this.readiness.close()
    this.figures.close()
    await this.peers.stop()
    this.log.belief('Stopped.', {})
  }

  /** What this instance believes now, for an operator. */
  dump (): object {
    return this.state.dump()
  }

  private createDesk (): ExchangeDesk {
    const { clock, random, failureDomain, serverWire, cacheStoreCalls, retryAllowance, weightsBoundMs } = this.options
    return ExchangeDesk.create({
      clock,
      random,
      failureDomain,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      wire: serverWire,
      log: this.log,
      retryAllowance,
      weightsBoundMs,
      suspects: this.suspects,
      quota: AccountQuotas.create({ clock, log: this.log, protocol: () => this.limits[LimitScope.Account], revision: () => this.revision }),
      use: { of: hash => this.peers.use.of(hash) },
      othersTokens: store => this.peers.tokensFrom(store),
      cacheStoreCalls,
      ownAddress: () => this.peers.address,
      watchersOf: store => this.peers.watchers.of(store),
      onLoadChanged: () => this.peers.loads.noteChange(),
      onUnreachable: ({ hash }) => this.peers.loads.noteUnreachable(hash),
      onRestAsked: ({ hash }) => this.peers.loads.noteResting(hash),
      tellAll: () => this.peers.send(),
      askLoad: wish => this.peers.loads.ask(wish()),
      onSaved: level => this.peers.loads.noteSaved(level),
      limitProtocol: () => this.limits[LimitScope.Server],
      onLimitChanged: () => this.peers.tellSoon(),
      onStoreRestarted: () => this.peers.loads.forgetSaved(),
      weights: { outdatedSince: (model, version) => this.office.desk.outdatedSince(model, version) },
      routing: () => this.table?.routing,
      onServerChanged: () => this.office.desk.run(),
      onMisdirected: ({ server, serverId, expectedWeights }, { prompt }, failure) =>
        this.office.desk.observeRefusal(server, prompt?.model, failure.serverId === serverId ? expectedWeights : undefined)
    })
  }

  private createState (): RelayState {
    const { name, clock } = this.options
    const { directory, runs } = this.desk
    const parts = { routing: () => this.table?.routing, peers: () => this.peers, knowledge: () => this.knowledge, lease: () => this.office.lease }
    return RelayState.create({ name, clock, directory, ...parts, open: () => runs.size, isReady: () => this.isReady() })
  }

  private createPeers (): Peers {
    const { clock, random, name, failureDomain, peers } = this.options
    return Peers.create({
      clock,
      random,
      name,
      failureDomain,
      ...peers,
      word: () => createOwnWord(this.beatParts()),
      lease: () => this.office.lease.news(),
      tell: (topic, from) => this.knowledge.tell(topic, from),
      onMessage: message => takePeerMessage(this.beatParts(), message),
      ownUses: () => ownUses(this.desk.directory.all()),
      isAskedFor: server => (this.desk.directory.ofHash(server)?.weights.size ?? 0) > 0,
      onSaved: levels => this.desk.caches.savedLevels.recordAnnounced(levels, clock.now()),
      onUnreachable: hash => this.desk.hearUnreachable(hash),
      onResting: hash => this.desk.hearResting(hash),
      onPassedOver: peer => this.log.belief('An instance does not answer questions of load; its second is asked.', { peer }),
      onNotice: notice => this.knowledge.hear(notice),
      onWeights: notice => takeWeightsNotice(this.office, notice),
      onLeaseCall: (request, search, response) => this.lendLease(request, search, response),
      onLimit: message => this.limits[message.scope].hear(message),
      isLeaving: () => this.isLeaving,
      processStartedAt: clock.now() - process.uptime() * 1000
    })
  }

  private createKnowledge (): Knowledge {
    return createKnowledge({
      ...this.options,
      relayLog: this.log,
      directory: this.desk.directory,
      peers: this.peers,
      revision: () => this.revision,
      onRouting: routing => this.adopt(routing),
      onWeights: (model, version, isStart) => this.office.desk.name(model, version, isStart),
      onRestored: () => this.note(this.memberBook.enterAgain())
    })
  }

  /** Work beside the requests that failed for a reason that nobody foresaw. */
  private note (work: Promise<void>): void {
    work.catch((error: unknown) => this.log.trouble('Work in the background failed.', { reason: String(error) }))
  }

  private createMemberBook (): MemberBook {
    const { clock, random, log, topics, name } = this.options
    return MemberBook.create({
      clock,
      random,
      log,
      topic: topics.members,
      name,
      address: this.peers.address,
      onFirstLife: () => this.desk.retries.recordFirstStart(),
      onAddresses: addresses => this.meet(addresses),
      isLeaving: () => this.isLeaving
    })
  }

  private createOffice (): OrderOffice {
    const { log, peers, desk: { directory } } = this
    return createOrderOffice({
      ...this.options,
      topic: this.options.topics.lease,
      directory,
      peers,
      log,
      isFit: () => this.knowledge.hasStore && !this.isLeaving,
      onStoreFailed: () => this.knowledge.doubt()
    })
  }

  private lendLease (request: IncomingMessage, search: URLSearchParams, response: ServerResponse): void {
    const { fenceLog, topics } = this.options
    answerLeaseCall(fenceLog, topics.lease, request, search, response).catch((error: unknown) => {
      this.log.trouble('A call at the lease for another instance failed.', { reason: String(error) })
      response.destroy()
    })
  }

  private beatParts (): BeatParts {
    const { options: { clock }, desk, suspects, peers, knowledge, office, isLeaving, revision } = this
    return { clock, desk, suspects, peers, knowledge, office, isLeaving, revision }
  }

  /** The store names all that ever entered. */
  private meet (addresses: readonly string[]): void {
    this.peers.nameAll(addresses)
    this.desk.observeInstances(this.peers.count())
  }

  private isReady (): boolean {
    return !this.isLeaving && this.knowledge.isWhole && this.usableTable() !== undefined
  }

  private get revision (): number {
    return this.table?.routing.revision ?? -1
  }

  /** Callers are not answered by a configuration that others know to be replaced. */
  private usableTable (): RouteTable | undefined {
    const beliefs = { now: this.options.clock.now(), revision: this.revision, era: this.knowledge.storeEra, told: () => this.peers.alive().map(({ revision }) => revision) }
    return this.table && this.startCheck.isPassed(beliefs) ? this.table : undefined
  }

  private adopt (routing: Routing): void {
    const before = this.revision
    this.table = RouteTable.create(routing)
    this.desk.directory.configure(routing)
    this.callers.setLimits(routing.limits)
    this.office.desk.run()
    this.log.belief('A configuration is in force.', { revision: routing.revision, before, routes: routing.routes.length })
  }
}
