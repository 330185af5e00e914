/** One instance of the relay: callers on one side, backend servers on the other, the platform's store above. */
import { waitUntil } from 'foxtaillever-core'
import { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import { createCacheUse } from './cache/cacheUse.js'
import { CallerServer } from './callers/callerServer.js'
import { ReadinessServer } from './callers/readinessServer.js'
import { CrashSuspects } from './exchange/crashSuspects.js'
import { ExchangeRuns } from './exchange/exchangeRuns.js'
import { Knowledge } from './knowledge/knowledge.js'
import { enterMemberBook } from './knowledge/memberBook.js'
import { RecordIntake } from './knowledge/recordIntake.js'
import { readWallSeconds } from './knowledge/suspension.js'
import type { Routing } from './model/routing.js'
import { ownUses } from './peers/ownUses.js'
import type { PeerMessage } from './peers/peerMessage.js'
import { Peers, type OwnWord } from './peers/peers.js'
import { ToldTopic } from './peers/toldTopic.js'
import type { RelayOptions, RunningSettings } from './relayOptions.js'
import { RouteTable } from './routing/routeTable.js'
import { ServerChoice } from './servers/serverChoice.js'
import { ServerDirectory } from './servers/serverDirectory.js'
import { MetricsServer } from './telemetry/metricsServer.js'
import { RelayLog } from './telemetry/relayLog.js'
import { RelayState } from './telemetry/relayState.js'
import { createOrderLease } from './weights/createOrderLease.js'
import type { OrderLease } from './weights/orderLease.js'
import { LAST_RANK, orderRank } from './weights/orderRank.js'
import { WeightsDesk } from './weights/weightsDesk.js'

/** The balancer notices within two seconds that this instance is not ready; until then it sends new connections, milliseconds. */
const STOP_LISTENING_MS = 2600

/** How often a shutdown looks whether the last answer is out, milliseconds. */
const SHUTDOWN_LOOK_MS = 50

/** Part of the grace that is kept free for the process to end: a quarter of a second of eight, ten times what it takes. */
const GRACE_KEPT_FREE = 0.03

export class Relay {
  private readonly log: RelayLog
  private readonly state: RelayState
  private readonly figures: MetricsServer
  private readonly directory: ServerDirectory
  private readonly retries: RetryShare
  private readonly caches = createCacheUse(store => this.peers.use.of(store).tokens)
  private readonly suspects = CrashSuspects.create()
  private readonly callers: CallerServer
  private readonly readiness: ReadinessServer
  private readonly knowledge: Knowledge
  private readonly peers: Peers
  private readonly lease: OrderLease
  private readonly weights: WeightsDesk
  private readonly choice: ServerChoice
  private readonly runs: ExchangeRuns
  private table: RouteTable | undefined
  private isLeaving = false
  private graceMs: number

  private constructor (private readonly options: RelayOptions) {
    const { clock, random, logs, callerWire, serverWire, retryAllowance, failureDomain } = options
    this.log = RelayLog.create(logs, service => this.state.brief(service))
    this.graceMs = options.graceMs
    this.retries = RetryShare.create(retryAllowance, clock.now())
    this.directory = ServerDirectory.create({
      onChanged: ({ id, state, service }, before) => {
        this.log.belief('A backend server changed its state.', { server: id, service, state, before })
        this.weights.run()
      }
    })
    this.state = this.createState()
    this.state.addTo(this.log.metrics)
    this.figures = MetricsServer.create({ render: () => this.log.metrics.render(), dump: () => this.dump() })
    this.peers = this.createPeers()
    this.knowledge = this.createKnowledge()
    this.lease = this.createLease()
    this.weights = this.createWeightsDesk()
    this.choice = ServerChoice.create({
      clock, random, failureDomain, directory: this.directory, use: this.peers.use, weights: this.weights, weightsBoundMs: options.weightsBoundMs
    })
    this.runs = ExchangeRuns.create({
      clock,
      random,
      wire: serverWire,
      directory: this.directory,
      retries: this.retries,
      ...this.caches,
      suspects: this.suspects,
      log: this.log,
      routing: () => this.routing(),
      place: (exchange, failed) => this.choice.place(exchange, failed),
      onMisdirected: () => { this.weights.run() }
    })
    this.callers = CallerServer.create({
      clock,
      random,
      wire: callerWire,
      log: this.log,
      table: () => this.table,
      onExchange: (exchange, answer) => this.runs.start(exchange, answer)
    })
    this.readiness = ReadinessServer.create(() => this.isReady())
  }

  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  async start (): Promise<void> {
    const { callers, readiness, metrics, clock, log, topics, name, seeds } = this.options
    this.log.belief('Starting.', { pid: process.pid })
    await this.peers.start()
    this.peers.nameAll(seeds)
    this.knowledge.start()
    enterMemberBook({ clock, log, topic: topics.members, name, address: this.peers.address, onAddresses: addresses => this.meet(addresses), isLeaving: () => this.isLeaving })
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
    this.retries.setAllowance(retryAllowance)
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
    this.log.belief('Leaving.', { requests: this.runs.size })
    this.callers.leave()
    this.peers.send([])
    await waitUntil(clock, clock.now() + STOP_LISTENING_MS)
    this.callers.close()
    while (this.runs.size > 0 && clock.now() < until) {
      await waitUntil(clock, clock.now() + SHUTDOWN_LOOK_MS)
    }
    this.runs.abort()
    this.weights.stop()
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

  private createState (): RelayState {
    const { name, clock } = this.options
    const { directory } = this
    const parts = { routing: () => this.table?.routing, peers: () => this.peers, knowledge: () => this.knowledge, lease: () => this.lease }
    return RelayState.create({ name, clock, directory, ...parts, open: () => this.runs.size, isReady: () => this.isReady() })
  }

  private createPeers (): Peers {
    const { clock, random, name, failureDomain, peers } = this.options
    return Peers.create({
      clock,
      random,
      name,
      failureDomain,
      ...peers,
      word: () => this.word(),
      tell: (topic, from) => this.knowledge.tell(topic, from),
      onMessage: message => this.hear(message),
      onNotice: notice => this.knowledge.hear(notice)
    })
  }

  private createKnowledge (): Knowledge {
    const { clock, random, log, topics, name, failureDomain, readers } = this.options
    const intake = RecordIntake.create({
      clock,
      log: this.log,
      readers,
      directory: this.directory,
      settledAt: () => this.knowledge.settledAt,
      onRouting: routing => this.adopt(routing),
      onWeights: (model, version) => this.weights.name(model, version, !this.knowledge.isWhole)
    })
    return Knowledge.create({
      clock,
      random,
      wallSeconds: readWallSeconds,
      self: { name, failureDomain },
      readers: () => this.peers.likely().filter(({ hasStore }) => hasStore),
      notify: notice => this.peers.notify(notice),
      log,
      topics: { [ToldTopic.Operators]: topics.operators, [ToldTopic.Servers]: topics.servers },
      relayLog: this.log,
      link: () => this.peers.link,
      peers: () => this.peers.table.all().map(({ address, last }) => ({ address, positions: last?.positions })),
      onRecord: { [ToldTopic.Operators]: record => intake.takeOperators(record), [ToldTopic.Servers]: record => intake.takeServer(record) }
    })
  }

  private createLease (): OrderLease {
    return createOrderLease(this.options, this.log, { doubt: () => this.knowledge.doubt(), tell: () => this.peers.send([]) })
  }

  private createWeightsDesk (): WeightsDesk {
    const { clock, engineOrders, name } = this.options
    return WeightsDesk.create({
      clock,
      holder: name,
      directory: this.directory,
      lease: this.lease,
      orders: engineOrders,
      log: this.log,
      rank: () => this.orderRank(),
      outstandingAt: ({ outstanding, listed }) => outstanding + this.peers.use.of(listed.id).outstanding,
      tell: news => this.peers.send([news])
    })
  }

  private orderRank (): number {
    if (!this.knowledge.hasStore || this.isLeaving) {
      return LAST_RANK
    }
    const others = this.peers.alive().filter(({ hasStore }) => hasStore).map(peer => peer.name)
    return orderRank(this.options.name, others, this.lease.lastHolder)
  }

  /** What this instance tells the others of itself. */
  private word (): OwnWord {
    return {
      isLeaving: this.isLeaving,
      hasStore: this.knowledge.hasStore,
      positions: this.knowledge.positions,
      lease: this.lease.news(),
      resigned: this.lease.resignation(),
      uses: ownUses(this.directory.all(), this.table?.routing.cacheStore?.address, this.caches.fetchLoad),
      suspects: this.suspects.toTell(this.options.clock.now()),
      savedLevels: this.caches.savedLevels.news(this.options.clock.now()),
      named: this.weights.ages()
    }
  }

  private hear ({ lease, resigned, weights, suspects, savedLevels, named }: PeerMessage): void {
    const now = this.options.clock.now()
    this.observeInstances()
    this.suspects.hear(suspects, now)
    this.caches.savedLevels.hear(savedLevels, now)
    if (lease) {
      this.lease.observe(lease)
    }
    if (resigned) {
      this.lease.observeResigned(resigned)
    }
    weights.forEach(news => this.weights.observe(news))
    named.forEach(news => this.weights.observeNamed(news))
  }

  /** The store names all that ever entered. */
  private meet (addresses: readonly string[]): void {
    this.peers.nameAll(addresses)
    this.observeInstances()
  }

  private observeInstances (): void {
    const count = this.peers.count()
    this.retries.observeInstances(count)
    this.directory.observeInstances(count)
  }

  private isReady (): boolean {
    return !this.isLeaving && this.table !== undefined && this.knowledge.isWhole
  }

  private routing (): Routing {
    if (!this.table) {
      throw new Error('An exchange began without a configuration.')
    }
    return this.table.routing
  }

  private adopt (routing: Routing): void {
    const before = this.table?.routing.revision ?? -1
    if (routing.revision <= before) {
      return
    }
    this.table = RouteTable.create(routing)
    this.directory.configure(routing)
    this.callers.setLimits(routing.limits)
    this.log.belief('A configuration is in force.', { revision: routing.revision, before, routes: routing.routes.length })
  }
}
