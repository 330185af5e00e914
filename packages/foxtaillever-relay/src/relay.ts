/** One instance of the relay: callers on one side, backend servers on the other, the platform's store above. */
import { createServer, type Server } from 'node:http'
import { hashNumber, waitUntil } from 'foxtaillever-core'
import { placeExchange, type ServerOffer } from 'foxtaillever-policy/relay/placeExchange'
import { RetryShare } from 'foxtaillever-policy/relay/retryShare'
import { promptKeyOf } from './attempts/planTerms.js'
import { CallerServer } from './callers/callerServer.js'
import type { ExchangeContext } from './exchange/exchangeContext.js'
import { ExchangeRun } from './exchange/exchangeRun.js'
import type { KeyedRecord } from './knowledge/keyedLog.js'
import { TopicFollower } from './knowledge/topicFollower.js'
import type { Exchange } from './model/exchange.js'
import type { Routing } from './model/routing.js'
import { OperatorKey, type RelayOptions } from './relayOptions.js'
import { RouteTable } from './routing/routeTable.js'
import type { KnownServer } from './servers/knownServer.js'
import { ServerDirectory } from './servers/serverDirectory.js'
import { RelayLog } from './telemetry/relayLog.js'

/** Configurations are rare, so the store holds the call until there is one, milliseconds. */
const OPERATORS_WAIT_MS = 2500

/** Between two reads of the servers' entries, milliseconds: well within the bound on new work for one that leaves. */
const SERVERS_PACE_MS = 700

/** The balancer notices within two seconds that this instance is not ready; until then it sends new connections, milliseconds. */
const STOP_LISTENING_MS = 2600

/** How often a shutdown looks whether the last answer is out, milliseconds. */
const SHUTDOWN_LOOK_MS = 50

/** Part of the grace that is kept free for the process to end. */
const GRACE_KEPT_FREE = 0.1

export class Relay {
  private readonly log: RelayLog
  private readonly directory: ServerDirectory
  private readonly retries: RetryShare
  private readonly callers: CallerServer
  private readonly readiness: Server
  private readonly operators: TopicFollower
  private readonly servers: TopicFollower
  private readonly runs = new Set<ExchangeRun>()
  private readonly context: ExchangeContext
  private table: RouteTable | undefined
  private isLeaving = false

  private constructor (private readonly options: RelayOptions) {
    const { clock, random, logs, callerWire, serverWire, retryAllowance, topics } = options
    this.log = RelayLog.create(logs)
    this.retries = RetryShare.create(retryAllowance)
    this.directory = ServerDirectory.create({
      onOpened: () => {},
      onChanged: ({ id, state, service }, before) => this.log.belief('A backend server changed its state.', { server: id, service, state, before })
    })
    this.operators = this.follow(topics.operators, OPERATORS_WAIT_MS, 0, record => this.readOperators(record), () => {})
    this.servers = this.follow(topics.servers, 0, SERVERS_PACE_MS, record => this.readServer(record), (ids, end) => this.directory.retain(ids, end))
    this.context = {
      clock,
      random,
      wire: serverWire,
      directory: this.directory,
      retries: this.retries,
      log: this.log,
      routing: () => this.routing(),
      place: (exchange, failed) => this.place(exchange, failed),
      onMisdirected: () => {},
      onOver: run => this.runs.delete(run)
    }
    this.callers = CallerServer.create({
      clock,
      random,
      wire: callerWire,
      log: this.log,
      table: () => this.table,
      onExchange: (exchange, answer) => { this.runs.add(ExchangeRun.start(this.context, exchange, answer)) }
    })
    this.readiness = createServer((_, response) => {
      response.writeHead(this.isReady() ? 200 : 503)
      response.end()
    })
  }

  static create (options: RelayOptions): Relay {
    return new Relay(options)
  }

  async start (): Promise<void> {
    const { callers, readiness } = this.options
    this.operators.start()
    this.servers.start()
    await this.callers.listen(callers.host, callers.port)
    await new Promise<void>(resolve => this.readiness.listen(readiness.port, readiness.host, resolve))
    this.log.belief('Started.', {})
  }

  /** Leaves: not ready at once, serving until the balancer has noticed and the last answer is out. */
  async stop (): Promise<void> {
    const { clock, graceMs } = this.options
    if (this.isLeaving) {
      return
    }
    this.isLeaving = true
    const until = clock.now() + graceMs * (1 - GRACE_KEPT_FREE)
    this.log.belief('Leaving.', { requests: this.runs.size })
    this.callers.leave()
    await waitUntil(clock, clock.now() + STOP_LISTENING_MS)
    this.callers.close()
    while (this.runs.size > 0 && clock.now() < until) {
      await waitUntil(clock, clock.now() + SHUTDOWN_LOOK_MS)
    }
    this.runs.forEach(run => run.abort())
    this.operators.stop()
    this.servers.stop()
    this.readiness.close()
    this.log.belief('Stopped.', {})
  }

  private isReady (): boolean {
    return !this.isLeaving && this.table !== undefined && this.servers.isSynced
  }

  private routing (): Routing {
    if (!this.table) {
      throw new Error('An exchange began without a configuration.')
    }
    return this.table.routing
  }

  private follow (topic: string, waitMs: number, paceMs: number, onRecord: (record: KeyedRecord) => void, onWhole: (keys: ReadonlySet<string>, end: number) => void): TopicFollower {
    const { clock, log } = this.options
    return TopicFollower.create({
      clock,
      log,
      topic,
      waitMs,
      paceMs,
      onRecord,
      onWhole,
      onLost: failure => this.log.trouble('The platform\'s store does not answer.', { topic, reason: failure.message }),
      onRegained: () => this.log.belief('The platform\'s store answers again.', { topic })
    })
  }

  private readOperators (record: KeyedRecord): void {
    const { readers } = this.options
    const { key, value } = record
    if (value === undefined) {
      return
    }
    const kind = readers.kindOfKey(record)
    if (kind === OperatorKey.Routing) {
      readers.routing(value).caseOf({
        Left: reason => this.log.trouble('A configuration cannot be read; the last one stays in force.', { key, reason }),
        Right: routing => this.adopt(routing)
      })
    }
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

  private readServer ({ key, value, offset }: KeyedRecord): void {
    if (value === undefined) {
      this.directory.remove(key, offset)
      return
    }
    this.options.readers.server(key, value).caseOf({
      Left: reason => this.log.trouble('An entry of a backend server cannot be read.', { server: key, reason }),
      Right: listed => this.directory.observe(listed, offset)
    })
  }

  private place (exchange: Exchange, failed: ReadonlySet<string>): KnownServer | undefined {
    const { clock, random, failureDomain } = this.options
    const now = clock.now()
    const offers = this.directory.ready(exchange.service)
      .filter(({ listed }) => !failed.has(listed.id))
      .map(server => toOffer(server, now))
    const need = { promptKey: promptKeyOf(exchange), promptTokens: exchange.prompt?.promptTokens ?? 0, failureDomain }
    const chosen = placeExchange(offers, need, random)
    return chosen && this.directory.get(chosen.id)
  }
}

function toOffer ({ listed, outstanding, outstandingTokens, avoidedUntil, changingUntil }: KnownServer, now: number): ServerOffer {
  return {
    id: listed.id,
    hash: hashNumber(listed.id),
    failureDomain: listed.failureDomain,
    slots: listed.slots,
    outstanding,
    waitingTokens: outstandingTokens,
    isAvoided: avoidedUntil > now,
    isChanging: changingUntil > now,
    isOutdated: false,
    coldLeftMs: listed.coldLeftMs
  }
}
