/** Plans what an attempt sends to the server about cached levels, weights, priority and deadline. */
import { hashNumber } from 'foxtaillever-core'
import type { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import { homeOf } from 'foxtaillever-policy/relay/levelHome'
import { linkTokens, mayFetch, maySave, transferExpiresAt } from 'foxtaillever-policy/relay/storeLink'
import { shouldYield, LEAST_URGENT_PRIORITY, yieldPriority, type ExpectedStart } from 'foxtaillever-policy/relay/yieldPriority'
import type { FetchLoad } from '../cache/fetchLoad.js'
import type { Exchange, Prompt } from '../model/exchange.js'
import type { CacheStore, Routing } from '../model/routing.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'

/** Priority of requests whose route names none. */
const MIDDLE_PRIORITY = 5

/**
 * Identity under which levels are cached. Neither engines nor stores record the
 * weights that produced a level, and they check no client account. Both are
 * therefore part of the identity, so that a level of other weights or of an
 * isolated account is never found. The configuration in force decides which
 * accounts are isolated: it may have changed since the request arrived.
 */
export function cacheSaltOf ({ account }: Pick<Exchange, 'account'>, { cacheIsolation }: Pick<Routing, 'cacheIsolation'>, weightsVersion: number): string {
  return `${cacheIsolation.keyOf(account)}/w${weightsVersion}`
}

/** Hash of the shared level of a prompt, as saved at a store under these weights. */
export function savedLevelOf (prompt: Prompt, cacheSalt: string, store: CacheStore): number {
  return hashNumber(`${prompt.model}/${cacheSalt}/${sharedLevelOf(prompt)}@${store.address}`)
}

/** Hash under which the shared level is saved once this server has read it; undefined where it is not saved. */
export function savedLevelAt (exchange: Exchange, { weights }: Pick<KnownServer, 'weights'>, routing: Routing, stores: readonly CacheStore[]): number | undefined {
  const { prompt } = exchange
  const key = promptKeyOf(exchange)
  const version = prompt && weights.get(prompt.model)
  const store = key === undefined ? undefined : homeOf(key, stores)
  return prompt && version !== undefined && store ? savedLevelOf(prompt, cacheSaltOf(exchange, routing, version), store) : undefined
}

/** Tokens after the levels shared with other requests; a prompt of one level may be shared as a whole. */
export function ownTokensOf ({ levels, promptTokens }: Prompt): number {
  return levels.length < 2 ? 0 : Math.min(promptTokens, levels[levels.length - 1]?.tokens ?? 0)
}

/** Tokens of the level that an engine most often lacks: earlier levels are shared by more requests and seldom evicted. */
export function deepestSharedTokensOf ({ levels, promptTokens }: Prompt): number {
  return levels[levels.length - 2]?.tokens ?? promptTokens
}

/** The deepest level shared with other requests; the last level belongs to the request or its session. */
function sharedLevelOf ({ levels }: Prompt): string {
  return (levels[levels.length - 2] ?? levels[levels.length - 1])?.id ?? ''
}

/** Hash of the shared levels, from which their home is computed; undefined without a prompt. */
export function promptKeyOf ({ prompt, account }: Exchange): number | undefined {
  if (!prompt) {
    return undefined
  }
  const isolationKey = account?.isIsolated === true ? account.name : ''
  return hashNumber(`${prompt.model}/${isolationKey}/${sharedLevelOf(prompt)}`)
}

/** Terms of an attempt that neither fetches nor saves levels. */
const noCache = { fetchFrom: '', saveTo: '', fetchedTokens: 0, fetchUntil: 0, savedLevel: undefined }

export interface TermsInputs {
  readonly routing: Routing
  /** Reachable stores of cached levels. */
  readonly stores: readonly CacheStore[]
  readonly savedLevels: SavedLevels
  readonly fetchLoad: FetchLoad
  /** Prompt tokens that the server reads before those of this request. */
  readonly tokensBefore: number
  /** Prompt tokens that the server reads per millisecond. */
  readonly tokensPerMs: number
  /** Whether the request goes behind those that can be on time if the queue makes it late. */
  readonly mayYield: boolean
  /** Milliseconds of Unix time. */
  readonly now: number
}

/** Priority of a request, that of its client account if it has one; 0 is the most urgent. */
export function priorityOf ({ account, route }: Exchange): number {
  return Math.min(LEAST_URGENT_PRIORITY, account?.priority ?? route.priority ?? MIDDLE_PRIORITY)
}

export function planTerms (exchange: Exchange, server: Pick<KnownServer, 'listed' | 'weights'>, resumeAfter: string, inputs: TermsInputs): SendTerms {
  const { deadline } = exchange
  const priority = priorityOf(exchange)
  const levels = planLevels(exchange, server, inputs)
  const isYielding = exchange.prompt !== undefined && inputs.mayYield && shouldYield(expectedStart(exchange, levels.unreadTokens, inputs))
  return { ...levels, server: server.listed, deadline, resumeAfter, isYielding, priority: isYielding ? yieldPriority(priority) : priority }
}

export function expectedStart ({ arrivedAt, route }: Exchange, unreadTokens: number, { tokensBefore, tokensPerMs, now }: Pick<TermsInputs, 'tokensBefore' | 'tokensPerMs' | 'now'>): ExpectedStart {
  return { elapsedMs: now - arrivedAt, waitMs: tokensBefore / tokensPerMs, readMs: unreadTokens / tokensPerMs, objectiveMs: route.objectiveMs }
}

/** The part of the terms that concerns cached levels. */
type LevelTerms = Pick<SendTerms, 'cacheSalt' | 'weightsVersion' | 'fetchFrom' | 'saveTo' | 'unreadTokens' | 'fetchedTokens' | 'fetchUntil' | 'savedLevel'>

function planLevels (exchange: Exchange, server: Pick<KnownServer, 'listed' | 'weights'>, { routing, stores, savedLevels, fetchLoad, now }: TermsInputs): LevelTerms {
  const { prompt } = exchange
  const weightsVersion = prompt && server.weights.get(prompt.model)
  if (prompt === undefined || weightsVersion === undefined) {
    return { ...noCache, cacheSalt: '', weightsVersion: undefined, unreadTokens: prompt?.promptTokens ?? 0 }
  }
  const cacheSalt = cacheSaltOf(exchange, routing, weightsVersion)
  const key = promptKeyOf(exchange)
  const store = key === undefined ? undefined : homeOf(key, stores)
  const tokenBytes = routing.services.get(exchange.service)?.engine?.tokenBytes
  if (store === undefined || tokenBytes === undefined) {
    return { ...noCache, cacheSalt, weightsVersion, unreadTokens: prompt.promptTokens }
  }
  const level = savedLevelOf(prompt, cacheSalt, store)
  const isCrossDomain = store.failureDomain !== server.listed.failureDomain
  const link = { tokensInTransit: fetchLoad.tokensInTransit(store.address, now), tokensPerMs: store.linkBytesPerMs / tokenBytes }
  const isFetched = mayFetch(link)
  // A saved level is found at the server or fetched; the tokens after it are read in any case.
  const isFound = isFetched && savedLevels.isSavedRecently(level, now)
  const fetchedTokens = isFound ? linkTokens(deepestSharedTokensOf(prompt), isCrossDomain) : 0
  const isSaved = maySave(link) && savedLevels.claimSave(level, now)
  return {
    cacheSalt,
    weightsVersion,
    fetchFrom: isFetched ? store.address : '',
    saveTo: isSaved ? store.address : '',
    unreadTokens: isFound ? ownTokensOf(prompt) : prompt.promptTokens,
    fetchedTokens,
    fetchUntil: transferExpiresAt(link, fetchedTokens, now),
    savedLevel: isSaved ? level : undefined
  }
}
