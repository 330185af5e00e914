/** Selects the backend server for each attempt: passes what this instance knows to the placement policy and returns its best server. */
import type { Clock, Random } from 'foxtaillever-core'
import { presentHome, rankCandidates, type ServerCandidate } from 'foxtaillever-policy/relay/placeExchange'
import { homeAmong, homeDomains, type HomePlace } from 'foxtaillever-policy/relay/levelHome'
import { homeWeight } from 'foxtaillever-policy/relay/serverSpeed'
import { ownTokensOf, promptKeyOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { CacheStore } from '../model/routing.js'
import type { LevelFetchEstimate } from '../cache/estimateLevelFetch.js'
import type { FleetLoad } from '../peers/fleetLoad.js'
import type { WeightsRollout } from '../weights/weightsRollout.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'
import { availableFrom } from './serverAvailability.js'

/** Weights are named some time before this instance learns of them, and a request takes some time to begin, milliseconds. */
const BEGIN_MARGIN_MS = 1500

/** Where most slots are occupied, a request may wait this much longer before it begins, milliseconds. */
const QUEUE_MARGIN_MS = 1500

/**
 * An answer has reduced value if it begins on weights that were replaced 1.5 s ago
 * or earlier. Until then replaced weights count like the newest, milliseconds, less
 * 300 for a request to begin. Otherwise all instances would send to the first engines
 * that have changed, which must recompute every prompt, and requests would queue there
 * while most of the fleet is idle.
 */
const FULL_VALUE_MS = 1200

/** Share of occupied slots above which requests wait. */
const QUEUEING_OCCUPANCY = 0.8

/**
 * Servers whose load is queried: the home and the best other server. With two to choose from, the fullest of 42 engines
 * holds little more than the mean; querying a third would raise control traffic above 14 KB/s at six prompts a second.
 */
const SHORTLIST_SIZE = 2

/** How long a refusal counts, milliseconds: requests that filled an engine end within this time, and an order to change weights takes about as long. */
const REFUSAL_LASTS_MS = 500

/** Assumed work of a plain request before any was observed, milliseconds. */
const DEFAULT_WORK_MS = 20

const noServersQueried: QueriedServers = new Set()

/** Hashes of servers whose load was just queried. */
export type QueriedServers = ReadonlySet<number>

const noServers: ReadonlySet<string> = new Set()

/** The outcome of the earlier attempts of an exchange. */
export interface EarlierAttempts {
  /** Ids of servers at which an attempt failed; they do not get the exchange again. */
  readonly failed: ReadonlySet<string>
  /** Ids of servers at which an attempt may have failed; they get the exchange again only if no other server can take it. */
  readonly doubtful?: ReadonlySet<string>
  /** Ids of the servers that may get the exchange; undefined for any. */
  readonly onlyServers?: ReadonlySet<string> | undefined
  /** One of these servers had other weights than expected. */
  readonly wasMisdirected: boolean
  /** Software version of the servers that may get the exchange; undefined for any. */
  readonly softwareVersion?: string | undefined
}

export interface ServerSelectorOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly directory: ServerDirectory
  /** Stores of cached prompt levels. */
  readonly stores: () => readonly CacheStore[]
  readonly fleetLoad: Pick<FleetLoad, 'of'>
  /** Estimates what it takes to get the levels of a prompt to an engine. */
  readonly estimateLevelFetch: (exchange: Exchange) => LevelFetchEstimate
  /** Whether any path to the server is known. */
  readonly isUsable: (server: KnownServer) => boolean
  readonly weights: Pick<WeightsRollout, 'outdatedSince'>
  /** The shortest objective for pauses in streams of a service, milliseconds; undefined for none. */
  readonly pauseObjectiveMsOf: (service: string) => number | undefined
  /** How long after new weights were named a request may still begin on older ones, milliseconds. */
  readonly weightsBoundMs: number
}

export class ServerSelector {
  private constructor (private readonly options: ServerSelectorOptions) {}

  static create (options: ServerSelectorOptions): ServerSelector {
    return new ServerSelector(options)
  }

  /**
   * The server for the next attempt of an exchange, other than those where it failed.
   * Selects among the servers whose load was just queried, while any of them accepts
   * requests: what is known about the load of the others is old and has decayed. Under
   * high load all queried servers are busy, and the others would look idle; prompts
   * would go to servers that are not their homes and be recomputed there, which keeps
   * the load high.
   */
  selectServer (exchange: Exchange, earlier: EarlierAttempts, queried: QueriedServers = noServersQueried): KnownServer | undefined {
    const { directory } = this.options
    const eligible = this.eligibleServers(exchange, earlier)
    const known = eligible.filter(({ hash }) => queried.has(hash))
    const chosen = this.rankServers(exchange, known, eligible).find(acceptsRequests) ?? this.rankServers(exchange, eligible, eligible)[0]
    return chosen && directory.get(chosen.id)
  }

  /** Hashes of the best servers for the exchange, whose load should be queried. */
  shortlist (exchange: Exchange, earlier: EarlierAttempts): number[] {
    const eligible = this.eligibleServers(exchange, earlier)
    return this.rankServers(exchange, eligible, eligible).slice(0, SHORTLIST_SIZE).flatMap(({ id }) => this.options.directory.get(id)?.hash ?? [])
  }

  /** Prompt tokens of the exchange that the server would have to read. */
  missingTokensAt (exchange: Exchange, server: KnownServer): number {
    return this.options.estimateLevelFetch(exchange).missingTokens(server)
  }

  /** The home engine of the levels of the exchange's prompt, while it accepts requests. */
  homeServerOf (exchange: Exchange): KnownServer | undefined {
    const { clock, directory } = this.options
    const now = clock.now()
    const promptKey = promptKeyOf(exchange)
    if (promptKey === undefined) {
      return undefined
    }
    const ready = directory.ready(exchange.service)
    const places = ready
      .filter(server => availableFrom(server) <= now && server.unreachableUntil <= now && this.hasAllowedWeights(server, exchange))
      .map(server => ({ server, ...homePlaceOf(server) }))
    const home = homeAmong(promptKey, this.homeDomains(promptKey, ready), places)?.server
    return home && home.changingUntil <= now ? home : undefined
  }

  /** Whether the server can take the next attempt once it accepts requests. */
  isSuitable (exchange: Exchange, earlier: EarlierAttempts, server: KnownServer): boolean {
    return this.options.directory.getByHash(server.hash) === server && this.canRun(exchange, earlier, server)
  }

  private canRun (exchange: Exchange, { failed, onlyServers, softwareVersion }: EarlierAttempts, server: KnownServer): boolean {
    const { id } = server.listed
    return !failed.has(id) && onlyServers?.has(id) !== false && hasSoftware(server, softwareVersion) && this.options.isUsable(server) && this.hasAllowedWeights(server, exchange)
  }

  /** The servers that can take the next attempt. */
  private eligibleServers (exchange: Exchange, earlier: EarlierAttempts): readonly KnownServer[] {
    const { doubtful = noServers, wasMisdirected } = earlier
    const { clock, directory } = this.options
    const now = clock.now()
    const available = directory.ready(exchange.service).filter(server => availableFrom(server) <= now && this.canRun(exchange, earlier, server))
    const others = available.filter(server => !doubtful.has(server.listed.id))
    const eligible = others.length > 0 ? others : available
    return wasMisdirected ? this.preferCurrentWeights(eligible, exchange) : eligible
  }

  /**
   * Ranks servers, the best first.
   * @param all servers among which the home of the prompt's levels is determined.
   */
  private rankServers (exchange: Exchange, servers: readonly KnownServer[], all: readonly KnownServer[]): readonly ServerCandidate[] {
    const { directory, random, failureDomain, estimateLevelFetch } = this.options
    const estimate = estimateLevelFetch(exchange)
    const { tokensPerMs } = directory.observations.prefillSpeedOf(exchange.service)
    const candidates = servers.map(server => this.toCandidate(server, exchange, estimate, tokensPerMs))
    const { promptTokens, outputTokens } = exchange.prompt ?? { promptTokens: 0, outputTokens: 0 }
    const promptKey = promptKeyOf(exchange)
    const need = {
      promptKey,
      homeHash: this.homeHash(promptKey, exchange, all),
      promptTokens,
      sharedTokens: exchange.prompt ? promptTokens - ownTokensOf(exchange.prompt) : 0,
      outputTokens,
      fetchMs: estimate.fetchMs,
      objectiveMs: exchange.route.objectiveMs,
      pauseObjectiveMs: all.some(({ speed }) => speed.weightStep !== 0) ? this.options.pauseObjectiveMsOf(exchange.service) : undefined,
      workMs: directory.observations.usualTimeOf(exchange.route.name).value ?? DEFAULT_WORK_MS,
      fetchWaitMs: estimate.waitMs,
      failureDomain
    }
    return rankCandidates(candidates, need, random)
  }

  /**
   * The servers with the newest weights, if there are any. The others may have changed
   * their weights without this instance knowing, and a request has few attempts.
   */
  private preferCurrentWeights (servers: readonly KnownServer[], exchange: Exchange): readonly KnownServer[] {
    const current = servers.filter(server => !this.hasOutdatedWeights(server, exchange))
    return current.length > 0 ? current : servers
  }

  /** Hash of the home of the prompt's levels among servers; servers that refused connections come last. */
  private homeHash (promptKey: number | undefined, { service }: Exchange, servers: readonly KnownServer[]): number | undefined {
    const { clock, directory } = this.options
    const now = clock.now()
    if (promptKey === undefined) {
      return undefined
    }
    const places = servers.map(server => ({ ...homePlaceOf(server), isUnreachable: server.unreachableUntil > now }))
    return presentHome(promptKey, this.homeDomains(promptKey, directory.ready(service)), places)?.hash
  }

  /** The failure domains near the store that keeps the prompt's shared levels. */
  private homeDomains (promptKey: number | undefined, servers: readonly KnownServer[]): ReadonlySet<string> | undefined {
    if (promptKey === undefined) {
      return undefined
    }
    return homeDomains(promptKey, this.options.stores(), servers.map(homePlaceOf))
  }

  /** Whether the request may begin there: the model is loaded, and its weights are not older than allowed. */
  private hasAllowedWeights (server: KnownServer, { prompt }: Exchange): boolean {
    if (!prompt) {
      return true
    }
    const { clock, weights, weightsBoundMs } = this.options
    const version = server.weights.get(prompt.model)
    const since = version === undefined ? 0 : weights.outdatedSince(prompt.model, version)
    const isQueueing = this.outstandingAt(server) > server.listed.slots * QUEUEING_OCCUPANCY
    return since === undefined || clock.now() < since + weightsBoundMs - BEGIN_MARGIN_MS - (isQueueing ? QUEUE_MARGIN_MS : 0)
  }

  private hasOutdatedWeights (server: KnownServer, { prompt }: Exchange): boolean {
    return prompt !== undefined && this.options.weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0) !== undefined
  }

  /** Whether an answer on the server's weights has less value than one on the newest weights. */
  private hasReducedValue (server: KnownServer, { prompt }: Exchange): boolean {
    const { clock, weights } = this.options
    const since = prompt && weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0)
    return since !== undefined && since + FULL_VALUE_MS <= clock.now()
  }

  private outstandingAt ({ hash, outstanding }: KnownServer): number {
    return outstanding + this.options.fleetLoad.of(hash).outstanding
  }

  private toCandidate (server: KnownServer, exchange: Exchange, estimate: LevelFetchEstimate, serviceTokensPerMs: number): ServerCandidate {
    const { clock, directory, fleetLoad } = this.options
    const { listed, unreadTokens, heldTokens, refusedAt, peerBackoffUntil, unreachableUntil, changingUntil } = server
    const now = clock.now()
    const others = fleetLoad.of(server.hash)
    return {
      ...homePlaceOf(server),
      id: listed.id,
      slots: listed.slots,
      outstanding: this.outstandingAt(server),
      waitingTokens: unreadTokens + others.tokens,
      missingTokens: estimate.missingTokens(server),
      heldTokens: heldTokens + others.heldTokens,
      memoryTokens: directory.memoryTokensOf(listed.service),
      tokensPerMs: server.speed.tokensPerMs ?? serviceTokensPerMs,
      isRefusing: refusedAt + REFUSAL_LASTS_MS > now || peerBackoffUntil > now,
      isUnreachable: unreachableUntil > now,
      faultCostMs: directory.observations.faultCostOf(server, now),
      isChanging: changingUntil > now,
      isOutdated: this.hasReducedValue(server, exchange),
      coldLeftMs: listed.coldLeftMs
    }
  }
}

function homePlaceOf ({ idHash, listed, speed }: KnownServer): HomePlace {
  return { hash: idHash, failureDomain: listed.failureDomain, weight: homeWeight(speed.weightStep) }
}

/** Whether the server would start or queue a request that is sent to it. */
function acceptsRequests ({ isUnreachable, isChanging, isRefusing }: ServerCandidate): boolean {
  return !isUnreachable && !isChanging && !isRefusing
}

function hasSoftware ({ listed }: KnownServer, softwareVersion: string | undefined): boolean {
  return softwareVersion === undefined || listed.softwareVersion === softwareVersion
}
