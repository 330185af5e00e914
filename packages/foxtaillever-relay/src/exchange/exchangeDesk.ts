/**
 * What carries exchanges from callers to backend servers: the servers, the
 * choice among them, the tries with their budget, and the runs. It knows neither
 * where servers and routes are learned from nor what other instances tell; both
 * come in by the options.
 */
import type { Clock, Random } from 'foxtaillever-core'
import { RetryShare, type RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import { CacheUse, type CacheUseOptions } from '../cache/cacheUse.js'
import { levelSupplyOf } from '../cache/levelSupply.js'
import { savedLevelAt } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import { ServerLimits, type ServerLimitsOptions } from '../limits/serverLimits.js'
import type { ServerWire } from '../model/wire.js'
import type { LevelAtHome, LoadWish } from '../peers/loadQuestions.js'
import type { KnownServer } from '../servers/knownServer.js'
import { ServerChoice, type AskedServers, type ServerChoiceOptions } from '../servers/serverChoice.js'
import { ServerDirectory } from '../servers/serverDirectory.js'
import { ServiceReturns } from '../servers/serviceReturns.js'
import { ServerStatements } from '../servers/serverStatements.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { ExchangeContext } from './exchangeContext.js'
import { ExchangeRuns } from './exchangeRuns.js'

/** Whoever is about to send a prompt asks its watchers again; their word serves this one choice, milliseconds. */
const HEARD_MS = 50

export interface ExchangeDeskOptions extends Pick<ServerChoiceOptions, 'failureDomain' | 'use' | 'weights' | 'weightsBoundMs'>, Pick<ExchangeContext, 'connectTimeoutMs' | 'suspects' | 'quota' | 'onMisdirected' | 'onLoadChanged' | 'onSaved' | 'onUnreachable'>, Omit<CacheUseOptions, 'stores'> {
  readonly clock: Clock
  readonly random: Random
  readonly wire: ServerWire
  readonly log: RelayLog
  readonly retryAllowance: RetryAllowance
  /** Asks what other instances know of the servers that a prompt's choice comes down to, and tells which; undefined where it is known. Never fails. */
  readonly askLoad: (wish: () => LoadWish) => Promise<AskedServers> | undefined
  /** The configuration in force; undefined until one is known. */
  readonly routing: () => Routing | undefined
  /** A server asked this instance for rest. */
  readonly onRestAsked: (server: KnownServer) => void
  /** Decides on limits that servers stated. */
  readonly limitProtocol: ServerLimitsOptions['protocol']
  /** A server stated a limit that all instances must know now. */
  readonly onLimitChanged: () => void
  /** The state of a server has changed, or it is new. */
  readonly onServerChanged: (server: ListedServer) => void
}

export class ExchangeDesk {
  readonly directory: ServerDirectory
  readonly retries: RetryShare
  readonly caches: CacheUse
  readonly runs: ExchangeRuns
  readonly limits: ServerLimits
  private readonly statements: ServerStatements

  private readonly clock: Clock
  private instances = 1
  private readonly log: RelayLog

  private constructor (options: ExchangeDeskOptions) {
    const { clock, random, connectTimeoutMs, wire, log, suspects, quota, askLoad, onLoadChanged, onSaved, onUnreachable, onMisdirected } = options
    this.clock = clock
    this.log = log
    this.retries = RetryShare.create(options.retryAllowance, clock.now())
    this.caches = CacheUse.create({ ...options, stores: () => options.routing()?.cacheStores ?? [] })
    this.directory = ServerDirectory.create({
      now: () => clock.now(),
      onAnswer: (server, status, headers, sentAt) => this.statements.observe(server, wire.readStatement(status, headers), sentAt),
      onChanged: (server, before) => {
        const { id, startedAt, service, state } = server
        log.belief('A backend server changed its state.', { server: id, startedAt, service, state, before })
        options.onServerChanged(server)
      }
    })
    this.limits = ServerLimits.create({ clock, log, directory: this.directory, protocol: options.limitProtocol, onUrgent: options.onLimitChanged })
    this.statements = ServerStatements.create({ clock, log, directory: this.directory, limits: this.limits, onRestAsked: options.onRestAsked })
    const returns = ServiceReturns.create({ clock, directory: this.directory, limitOf: server => this.limits.limitOf(server), instances: () => this.instances })
    const choice = ServerChoice.create({
      ...options,
      directory: this.directory,
      stores: () => this.caches.available(),
      levelSupply: exchange => levelSupplyOf(exchange, knownRouting(options.routing()), this.caches, clock.now(), this.directory.experience.prefillSpeedOf(exchange.service).tokensPerMs)
    })
    this.runs = ExchangeRuns.create({
      clock,
      random,
      connectTimeoutMs,
      wire,
      directory: this.directory,
      retries: this.retries,
      caches: this.caches,
      suspects,
      quota,
      limits: this.limits,
      log,
      routing: () => knownRouting(options.routing()),
      othersTokensAt: server => options.use.of(server.hash).tokens,
      onLoadChanged,
      onSaved,
      onUnreachable,
      askLoad: (exchange, earlier) => exchange.prompt && askLoad(() => ({ servers: choice.shortlist(exchange, earlier), level: this.levelAtHome(exchange, choice.homeOf(exchange)) })),
      returnAt: service => returns.returnAt(service),
      place: (exchange, earlier, asked) => choice.place(exchange, earlier, asked),
      onMisdirected
    })
  }

  static create (options: ExchangeDeskOptions): ExchangeDesk {
    return new ExchangeDesk(options)
  }

  /** Instances that share the servers' connections and the retry budget. */
  observeInstances (count: number): void {
    this.instances = count
    this.retries.setInstances(count)
    this.directory.observeInstances(count)
  }

  private levelAtHome (exchange: Exchange, home: KnownServer | undefined): LevelAtHome | undefined {
    const level = home && savedLevelAt(exchange, home, this.caches.available())
    return home && level !== undefined ? { level, home: home.hash } : undefined
  }

  /** A server asked other instances for rest; by its hash. */
  hearResting (hash: number): void {
    const server = this.directory.ofHash(hash)
    if (server) {
      server.restingForOthersUntil = this.clock.now() + HEARD_MS
    }
  }

  /** Several instances could not reach a server; by its hash. */
  hearUnreachable (hash: number): void {
    const server = this.directory.ofHash(hash)
    const now = this.clock.now()
    if (server && server.absentUntil <= now) {
      this.log.belief('Other instances could not reach a backend server; it is passed over for a moment.', { server: server.listed.id })
    }
    if (server) {
      this.directory.experience.observeAbsent(server, now)
    }
  }
}

function knownRouting (routing: Routing | undefined): Routing {
  if (!routing) {
    throw new Error('An exchange began without a configuration.')
  }
  return routing
}
