/** Gives the decision on placement what this instance knows, and takes its answer. */
import type { Clock, Random } from 'foxtaillever-core'
import { presentHome, rankCandidates, type ServerCandidate } from 'foxtaillever-policy/relay/placeExchange'
import { homeAmong, homeDomains } from 'foxtaillever-policy/relay/levelHome'
import { ownTokensOf, promptKeyOf } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { CacheStore } from '../model/routing.js'
import type { LevelSupply } from '../cache/levelSupply.js'
import type { FleetUse } from '../peers/fleetUse.js'
import type { WeightsDesk } from '../weights/weightsDesk.js'
import type { KnownServer } from './knownServer.js'
import type { ServerDirectory } from './serverDirectory.js'
import { opensAt } from './serverOpening.js'

/** Weights were named some time before they were learned, and a request takes some to begin, milliseconds. */
const WEIGHTS_MARGIN_MS = 1500

/** Where most slots are taken a request may wait that much longer before it begins, milliseconds. */
const QUEUED_MARGIN_MS = 1500

/**
 * An answer loses worth when it begins on weights replaced 1.5 s ago; until then
 * they are as good as the newest, milliseconds, less 300 for a request to begin.
 * All instances would else rush to the first engines that have changed, which
 * read everything anew, and queue there while most of the fleet stands idle.
 */
const AS_GOOD_MS = 1200

/** Part of the slots from which on requests wait. */
const QUEUEING = 0.8

/**
 * A home and the best besides: with two to choose from the fullest of 42 engines holds little more than the mean. Asking
 * for a third would take control traffic beyond 14 KB/s at six prompts a second.
 */
const SHORTLIST = 2

/** Requests that filled an engine end within this, and an order to change weights is under way for about as long, milliseconds. */
const REFUSING_MS = 500

/** A plain request's work before any was seen, milliseconds. */
const FIRST_WORK_MS = 20

const noneAsked: AskedServers = new Set()

/** Hashes of servers whose load was just asked for. */
export type AskedServers = ReadonlySet<number>

/** What the earlier tries of an exchange came to. */
export interface EarlierTries {
  /** Servers that failed it; they do not get it again. */
  readonly failed: ReadonlySet<string>
  /** One of them had other weights than were thought. */
  readonly wasMisdirected: boolean
}

export interface ServerChoiceOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  readonly directory: ServerDirectory
  /** Stores of cached prompt levels. */
  readonly stores: () => readonly CacheStore[]
  readonly use: Pick<FleetUse, 'of'>
  /** How the levels of a prompt would come to an engine. */
  readonly levelSupply: (exchange: Exchange) => LevelSupply
  readonly weights: Pick<WeightsDesk, 'outdatedSince'>
  /** After new weights were named no request may begin on older ones, milliseconds. */
  readonly weightsBoundMs: number
}

export class ServerChoice {
  private constructor (private readonly options: ServerChoiceOptions) {}

  static create (options: ServerChoiceOptions): ServerChoice {
    return new ServerChoice(options)
  }

  /**
   * The server for the next try of an exchange, other than those that failed it.
   * One of those that were asked for, while any of them takes requests: words of
   * the others are old and have faded. Under pressure all that were asked for are
   * busy, and whatever was not would look idle; prompts then go anywhere but home,
   * are read again there, and keep up the pressure by it.
   */
  place (exchange: Exchange, earlier: EarlierTries, asked: AskedServers = noneAsked): KnownServer | undefined {
    const { directory } = this.options
    const fit = this.fit(exchange, earlier)
    const known = fit.filter(({ hash }) => asked.has(hash))
    const chosen = this.rank(exchange, known, fit).find(isOpen) ?? this.rank(exchange, fit, fit)[0]
    return chosen && directory.get(chosen.id)
  }

  /** Hashes of the servers that come into question first, to ask for their load. */
  shortlist (exchange: Exchange, earlier: EarlierTries): number[] {
    const fit = this.fit(exchange, earlier)
    return this.rank(exchange, fit, fit).slice(0, SHORTLIST).flatMap(({ id }) => this.options.directory.get(id)?.hash ?? [])
  }

  /** The engine that is home to the levels of the exchange's prompt, while it takes requests. */
  homeOf (exchange: Exchange): KnownServer | undefined {
    const { clock, directory } = this.options
    const now = clock.now()
    const promptKey = promptKeyOf(exchange)
    if (promptKey === undefined) {
      return undefined
    }
    const ready = directory.ready(exchange.service)
    const places = ready
      .filter(server => opensAt(server) <= now && server.absentUntil <= now && this.hasFitWeights(server, exchange))
      .map(server => ({ server, hash: server.idHash, failureDomain: server.listed.failureDomain }))
    const home = homeAmong(promptKey, this.homeDomains(promptKey, ready), places)?.server
    return home && home.changingUntil <= now ? home : undefined
  }

  /** The servers that can take the next try. */
  private fit (exchange: Exchange, { failed, wasMisdirected }: EarlierTries): readonly KnownServer[] {
    const { clock, directory } = this.options
    const now = clock.now()
    const fit = directory.ready(exchange.service).filter(server => !failed.has(server.listed.id) && opensAt(server) <= now && this.hasFitWeights(server, exchange))
    return wasMisdirected ? this.inNoDoubt(fit, exchange) : fit
  }

  /**
   * The best of some servers first.
   * @param all among which the home of the prompt's levels is.
   */
  private rank (exchange: Exchange, servers: readonly KnownServer[], all: readonly KnownServer[]): readonly ServerCandidate[] {
    const { directory, random, failureDomain, levelSupply } = this.options
    const supply = levelSupply(exchange)
    const offers = servers.map(server => this.toOffer(server, exchange, supply))
    const { promptTokens, outputTokens } = exchange.prompt ?? { promptTokens: 0, outputTokens: 0 }
    const promptKey = promptKeyOf(exchange)
    const need = {
      promptKey,
      homeHash: this.homeHash(promptKey, exchange, all),
      promptTokens,
      sharedTokens: exchange.prompt ? promptTokens - ownTokensOf(exchange.prompt) : 0,
      outputTokens,
      pace: { tokensPerMs: directory.experience.prefillSpeedOf(exchange.service).tokensPerMs, fetchMs: supply.fetchMs },
      objectiveMs: exchange.route.objectiveMs,
      workMs: directory.experience.usualTimeOf(exchange.route.name).value ?? FIRST_WORK_MS,
      fetchWaitMs: supply.waitMs,
      failureDomain
    }
    return rankCandidates(offers, need, random)
  }

  /**
   * Those with the newest weights, if there are any: the others may have been
   * changed without a word of it, and a request has few tries.
   */
  private inNoDoubt (servers: readonly KnownServer[], exchange: Exchange): readonly KnownServer[] {
    const current = servers.filter(server => !this.isOutdated(server, exchange))
    return current.length > 0 ? current : servers
  }

  /** The home of the prompt's levels among servers, those that are not there last. */
  private homeHash (promptKey: number | undefined, { service }: Exchange, servers: readonly KnownServer[]): number | undefined {
    const { clock, directory } = this.options
    const now = clock.now()
    if (promptKey === undefined) {
      return undefined
    }
    const places = servers.map(({ idHash, listed, absentUntil }) => ({ hash: idHash, failureDomain: listed.failureDomain, isUnreachable: absentUntil > now }))
    return presentHome(promptKey, this.homeDomains(promptKey, directory.ready(service)), places)?.hash
  }

  /** Near the store that keeps the prompt's shared levels. */
  private homeDomains (promptKey: number | undefined, servers: readonly KnownServer[]): ReadonlySet<string> | undefined {
    if (promptKey === undefined) {
      return undefined
    }
    return homeDomains(promptKey, this.options.stores(), servers.map(({ listed }) => ({ hash: 0, failureDomain: listed.failureDomain })))
  }

  /** Whether the request may begin there: the model is loaded, and its weights are not older than is allowed. */
  private hasFitWeights (server: KnownServer, { prompt }: Exchange): boolean {
    if (!prompt) {
      return true
    }
    const { clock, weights, weightsBoundMs } = this.options
    const version = server.weights.get(prompt.model)
    const since = version === undefined ? 0 : weights.outdatedSince(prompt.model, version)
    const isQueueing = this.outstandingAt(server) > server.listed.slots * QUEUEING
    return since === undefined || clock.now() < since + weightsBoundMs - WEIGHTS_MARGIN_MS - (isQueueing ? QUEUED_MARGIN_MS : 0)
  }

  private isOutdated (server: KnownServer, { prompt }: Exchange): boolean {
    return prompt !== undefined && this.options.weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0) !== undefined
  }

  /** Whether an answer on the server's weights is worth less than one on the newest. */
  private isWorthLess (server: KnownServer, { prompt }: Exchange): boolean {
    const { clock, weights } = this.options
    const since = prompt && weights.outdatedSince(prompt.model, server.weights.get(prompt.model) ?? 0)
    return since !== undefined && since + AS_GOOD_MS <= clock.now()
  }

  private outstandingAt ({ hash, outstanding }: KnownServer): number {
    return outstanding + this.options.use.of(hash).outstanding
  }

  private toOffer (server: KnownServer, exchange: Exchange, supply: LevelSupply): ServerCandidate {
    const { clock, directory, use } = this.options
    const { listed, unreadTokens, heldTokens, refusedAt, restingForOthersUntil, absentUntil, changingUntil } = server
    const now = clock.now()
    const others = use.of(server.hash)
    return {
      id: listed.id,
      hash: server.idHash,
      failureDomain: listed.failureDomain,
      slots: listed.slots,
      outstanding: this.outstandingAt(server),
      waitingTokens: unreadTokens + others.tokens,
      missingTokens: supply.missingTokens(server),
      heldTokens: heldTokens + others.heldTokens,
      memoryTokens: directory.memoryOf(listed.service),
      isRefusing: refusedAt + REFUSING_MS > now || restingForOthersUntil > now,
      isUnreachable: absentUntil > now,
      faultCostMs: directory.experience.faultCostOf(server, now),
      isChanging: changingUntil > now,
      isOutdated: this.isWorthLess(server, exchange),
      coldLeftMs: listed.coldLeftMs
    }
  }
}

/** Whether a request that is sent there may begin at once or wait its turn. */
function isOpen ({ isUnreachable, isChanging, isRefusing }: ServerCandidate): boolean {
  return !isUnreachable && !isChanging && !isRefusing
}
