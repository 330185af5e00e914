/**
 * Carries exchanges from callers to backend servers: the directory of servers,
 * the choice among them, the retry budget and the runs in progress. Routes, and
 * what other instances report, come in through the options.
 */
import type { IncomingHttpHeaders } from 'node:http'
import type { Clock, Random } from 'foxtaillever-core'
import { RetryShare, type RetryAllowance } from 'foxtaillever-policy/relay/retryShare'
import { AdmissionClaims } from '../admission/admissionClaims.js'
import type { AdmissionContext } from '../admission/requestAdmission.js'
import { ServerRooms } from '../admission/serverRooms.js'
import { CacheStoreTracker, type CacheStoreTrackerOptions } from '../cache/cacheStoreTracker.js'
import { estimateLevelFetch } from '../cache/estimateLevelFetch.js'
import { savedLevelAt } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { ListedServer } from '../model/listedServer.js'
import type { Routing } from '../model/routing.js'
import { ServerLimits, type ServerLimitsOptions } from '../limits/serverLimits.js'
import type { ServerWire } from '../model/wire.js'
import type { LoadProtocolOptions } from '../peers/loadProtocol.js'
import type { LevelAtHome, LoadQuery } from '../peers/loadQueryClient.js'
import { BrittleServers } from '../servers/brittleServers.js'
import type { KnownServer } from '../servers/knownServer.js'
import { ServerSelector, type QueriedServers, type ServerSelectorOptions } from '../servers/serverSelector.js'
import { ServerDirectory } from '../servers/serverDirectory.js'
import { ServiceRetrySchedules } from '../servers/serviceRetrySchedules.js'
import { ServerStatementHandler } from '../servers/serverStatementHandler.js'
import { ByteSource, type RelayLog } from '../telemetry/relayLog.js'
import type { ExchangeContext } from './exchangeContext.js'
import { ExchangeRuns } from './exchangeRuns.js'

/** How long a reported backoff counts, milliseconds: it serves one choice only, because watchers are queried again before each prompt. */
const BACKOFF_REPORT_VALID_MS = 50

/** The platform removes the entry of a server that does not write it for so many intervals. */
const MISSED_ENTRIES = 3

export interface ExchangeDispatcherOptions extends Pick<ServerSelectorOptions, 'failureDomain' | 'fleetLoad' | 'weights' | 'weightsBoundMs'>, Pick<ExchangeContext, 'endsAt' | 'connectTimeoutMs' | 'crashes' | 'quota' | 'paths' | 'streamVersions' | 'onMisdirected' | 'onLoadChanged' | 'onSpeedSample' | 'onSaved' | 'onUnreachable'>, Omit<CacheStoreTrackerOptions, 'stores'> {
  readonly clock: Clock
  readonly random: Random
  readonly wire: ServerWire
  readonly log: RelayLog
  readonly retryAllowance: RetryAllowance
  /** Number of instances of the fleet; undefined until it is known. */
  readonly knownInstances: () => number | undefined
  /** Queries other instances for the load of the candidate servers of a prompt, and resolves to the servers it queried; undefined where the load is known. Never rejects. */
  readonly queryLoad: (query: () => LoadQuery) => Promise<QueriedServers> | undefined
  /** The configuration in force; undefined until one is known. */
  readonly routing: () => Routing | undefined
  /** A server asked this instance to back off, with Retry-After. */
  readonly onBackoffRequested: (server: KnownServer) => void
  /** Decides on requests under the limits that servers stated. */
  readonly limitProtocol: ServerLimitsOptions['protocol']
  /** Interval at which servers write their entries, milliseconds. */
  readonly serverHeartbeatMs: number
  /** Decides on admission at servers. */
  readonly admissionProtocol: () => AdmissionContext['protocol']
  /** A server stated a limit that all instances must know now. */
  readonly onLimitChanged: () => void
  /** The state of a server has changed, or it is new. */
  readonly onServerChanged: (server: ListedServer) => void
}

export class ExchangeDispatcher {
  readonly directory: ServerDirectory
  readonly retries: RetryShare
  readonly caches: CacheStoreTracker
  readonly runs: ExchangeRuns
  readonly limits: ServerLimits
  readonly brittle: BrittleServers
  /** What each server can take. */
  readonly rooms: ServerRooms
  private readonly statements: ServerStatementHandler

  private readonly clock: Clock
  private instances = 1
  private readonly log: RelayLog
  private readonly wire: ServerWire

  private constructor (private readonly options: ExchangeDispatcherOptions) {
    const { clock, random, endsAt, connectTimeoutMs, wire, log, crashes, quota, streamVersions, queryLoad, onLoadChanged, onSpeedSample, onSaved, onUnreachable, onMisdirected, paths } = options
    this.clock = clock
    this.log = log
    this.wire = wire
    this.retries = RetryShare.create(options.retryAllowance, clock.now(), options.knownInstances)
    this.caches = CacheStoreTracker.create({ ...options, stores: () => options.routing()?.cacheStores ?? [] })
    this.directory = ServerDirectory.create({
      now: () => clock.now(),
      entryExpiryMs: MISSED_ENTRIES * options.serverHeartbeatMs,
      onAnswer: (server, status, headers, sentAt) => this.statements.applyStatement(server, wire.readStatement(status, headers), sentAt),
      onEarlierStart: ({ id, startedAt, state }, knownStart) => log.trouble('A later entry of a backend server names an earlier start.', { server: id, startedAt, knownStart, state }),
      onExcess: ({ listed }, excess) => log.bodyExceeded(ByteSource.Server, listed.id, excess),
      onChanged: (server, before) => {
        const { id, startedAt, service, softwareVersion, state } = server
        log.belief('A backend server changed its state.', { server: id, startedAt, service, softwareVersion, state, before })
        options.onServerChanged(server)
      }
    })
    this.limits = ServerLimits.create({ clock, log, directory: this.directory, protocol: options.limitProtocol, onUrgent: options.onLimitChanged })
    this.brittle = BrittleServers.create({ clock, log, directory: this.directory, onUrgent: options.onLimitChanged })
    this.statements = ServerStatementHandler.create({ clock, log, directory: this.directory, limits: this.limits, brittle: this.brittle, onBackoffRequested: options.onBackoffRequested })
    const retrySchedules = ServiceRetrySchedules.create({ clock, directory: this.directory, limitOf: server => this.limits.limitOf(server), instances: () => this.instances })
    const selector = ServerSelector.create({
      ...options,
      isUsable: server => paths.isUsable(server),
      pauseObjectiveMsOf: service => this.rooms.objectivesOf(service).pauseObjectiveMs,
      directory: this.directory,
      stores: () => this.caches.available(),
      estimateLevelFetch: exchange => estimateLevelFetch(exchange, requireRouting(options.routing()), this.caches, clock.now(), this.directory.observations.prefillSpeedOf(exchange.service).tokensPerMs)
    })
    const isBrittle = (server: KnownServer): boolean => this.brittle.isBrittle(server)
    this.rooms = ServerRooms.create({ clock, directory: this.directory, routing: options.routing, isBrittle })
    const claims = AdmissionClaims.create({ fleetLoad: options.fleetLoad, capacityOf: server => this.rooms.of(server), isBrittle, instances: () => this.instances, missingTokensAt: (exchange, server) => selector.missingTokensAt(exchange, server) })
    this.runs = ExchangeRuns.create({
      clock,
      random,
      endsAt,
      connectTimeoutMs,
      wire,
      directory: this.directory,
      retries: this.retries,
      caches: this.caches,
      paths,
      crashes,
      quota,
      streamVersions,
      limits: this.limits,
      admission: { claims, protocol: { request: (claim, onResult, onQueued) => options.admissionProtocol().request(claim, onResult, onQueued) } },
      log,
      isBrittle,
      routing: () => requireRouting(options.routing()),
      othersTokensAt: server => options.fleetLoad.of(server.hash).tokens,
      onLoadChanged,
      onSpeedSample,
      onSaved,
      onUnreachable,
      onRejected: server => {
        if (isBrittle(server)) {
          options.onBackoffRequested(server)
        }
      },
      queryLoad: (exchange, earlier) => exchange.prompt && queryLoad(() => ({ servers: selector.shortlist(exchange, earlier), position: claims.queuePositionOf(exchange), level: this.levelAtHome(exchange, selector.homeServerOf(exchange)) })),
      earliestRetryAt: (service, softwareVersion) => retrySchedules.nextRetryAt(service, softwareVersion),
      selectServer: (exchange, earlier, queriedServers) => selector.selectServer(exchange, earlier, queriedServers),
      isSuitable: (exchange, earlier, server) => selector.isSuitable(exchange, earlier, server),
      onMisdirected
    })
  }

  static create (options: ExchangeDispatcherOptions): ExchangeDispatcher {
    return new ExchangeDispatcher(options)
  }

  /** Sets how many instances share the servers' connections. */
  setInstanceCount (count: number): void {
    this.instances = count
    this.directory.setInstanceCount(count)
  }

  private levelAtHome (exchange: Exchange, home: KnownServer | undefined): LevelAtHome | undefined {
    const level = home && savedLevelAt(exchange, home, requireRouting(this.options.routing()), this.caches.available())
    return home && level !== undefined ? { level, home: home.hash } : undefined
  }

  /** Whether instances report each change of the load that they put on the server, given by its hash. */
  isQueried (hash: number): boolean {
    const server = this.directory.getByHash(hash)
    return server !== undefined && (server.weights.size > 0 || this.brittle.isBrittle(server))
  }

  /** Applies what a server stated in an answer that came through another instance. */
  applyForwardedAnswer (server: KnownServer, status: number, headers: IncomingHttpHeaders, sentAt: number): void {
    this.statements.applyStatement(server, this.wire.readStatement(status, headers), sentAt)
  }

  /** Handlers of what watchers of servers report. */
  get reportHandlers (): Pick<LoadProtocolOptions, 'onSaved' | 'onUnreachable' | 'onBackingOff'> {
    return {
      onSaved: levels => this.caches.savedLevels.recordAnnounced(levels, this.clock.now()),
      onUnreachable: hash => this.recordUnreachable(hash),
      onBackingOff: hash => this.recordBackoff(hash)
    }
  }

  /** Records that a server, given by its hash, asked other instances to back off. */
  private recordBackoff (hash: number): void {
    const server = this.directory.getByHash(hash)
    if (server) {
      server.peerBackoffUntil = this.clock.now() + BACKOFF_REPORT_VALID_MS
    }
  }

  /** Records that several instances could not reach a server, given by its hash. */
  private recordUnreachable (hash: number): void {
    const server = this.directory.getByHash(hash)
    const now = this.clock.now()
    if (server && server.unreachableUntil <= now) {
      this.log.belief('Other instances could not reach a backend server; it is passed over for a moment.', { server: server.listed.id })
    }
    if (server) {
      this.directory.observations.recordUnreachable(server, now)
    }
  }
}

function requireRouting (routing: Routing | undefined): Routing {
  if (!routing) {
    throw new Error('An exchange began without a configuration.')
  }
  return routing
}
