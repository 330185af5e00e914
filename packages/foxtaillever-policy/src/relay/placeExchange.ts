/**
 * Chooses the backend server of a relayed request.
 *
 * Requests that share a prompt level go to the level's home server. Every
 * instance computes the same home without messages, so each level is read once.
 * When waiting for a home that is busy, failing or about to change its weights
 * costs more than fetching the level at another server, that server is chosen.
 * Every factor is a cost in milliseconds until the first token, from the observed
 * or configured speed of engines and links.
 */
import type { Random } from 'foxtaillever-core'
import { homeAmong, type HomePlace } from './levelHome.js'

/** What a placement decision knows of a server. */
export interface ServerCandidate extends HomePlace {
  readonly id: string
  readonly slots: number
  /** Requests sent to it and not yet answered completely. */
  readonly outstanding: number
  /** Prompt tokens that it has not read yet. */
  readonly waitingTokens: number
  /** Tokens of this prompt that it has not cached and would have to read. */
  readonly missingTokens: number
  /** Tokens of its memory that its requests occupy until they end. */
  readonly heldTokens: number
  /** Its memory, in tokens; 0 where unknown. */
  readonly memoryTokens: number
  /** Prompt tokens that it reads in a millisecond; see `ServerSpeed`. */
  readonly tokensPerMs: number
  /** It refused a request a moment ago. */
  readonly isRefusing: boolean
  /** A connection to its address failed a moment ago. */
  readonly isUnreachable: boolean
  /** Cost of its recent faults and slowness, milliseconds; see `ServerHealth`. */
  readonly faultCostMs: number
  /** It is changing its weights or is about to. */
  readonly isChanging: boolean
  /** Its weights are older than those wanted. */
  readonly isOutdated: boolean
  /** How much longer it stays slow after its start, milliseconds. */
  readonly coldLeftMs: number
}

/** Conditions of a server that neither attract nor deter requests. */
export const ordinaryConditions = {
  weight: 1,
  isRefusing: false,
  isUnreachable: false,
  faultCostMs: 0,
  isChanging: false,
  isOutdated: false,
  coldLeftMs: 0
} as const satisfies Partial<ServerCandidate>

export interface PlacementNeed {
  /** Hash of the levels that requests share; undefined without a prompt. */
  readonly promptKey: number | undefined
  /** Failure domains whose servers may be the level's home; undefined for all. */
  readonly homeDomains?: ReadonlySet<string> | undefined
  /** Hash of the home among all servers; when undefined, it is computed among the candidates. */
  readonly homeHash?: number | undefined
  readonly promptTokens: number
  /** Prompt tokens in levels that other requests share. */
  readonly sharedTokens: number
  /** Maximum. */
  readonly outputTokens: number
  /** Time to fetch the shared level of the prompt from a store in the same failure domain, milliseconds. */
  readonly fetchMs: number
  /** Objective for the time until the first event, milliseconds. */
  readonly objectiveMs: number
  /** Shortest objective for pauses in the service's streams, milliseconds; undefined for none, and where all servers pause their streams alike. */
  readonly pauseObjectiveMs?: number | undefined
  /** Work of a request without a prompt, milliseconds; the cost of each queued request. */
  readonly workMs: number
  /** How long a fetch waits for the link of the level's store, milliseconds. */
  readonly fetchWaitMs: number
  /** Failure domain of this instance. */
  readonly failureDomain: string
}

/** Delay of the first token for each request already running, milliseconds. */
const REQUEST_COST_MS = 2

/** Share of requests that find their level cached at its home and need not wait for the store's link. */
const FOUND_AT_HOME_SHARE = 0.5

/**
 * Share of requests that find a level at its home although this instance does not know that it
 * was saved: it was saved more than ten seconds ago, or before this instance started.
 */
const FOUND_UNRECORDED_SHARE = 0.4

/** Maximum cost of waiting for the store's link, milliseconds: reading a level again costs more than an answer in time earns. */
const MAX_LINK_WAIT_MS = 250

/** Speed at which ending requests free memory, relative to reading: eight requests of 9,200 tokens, read at 110 a millisecond, end within 1.5 seconds. */
const FREED_RATIO = 0.45

/** Cost of a likely refusal, milliseconds: it uses a retry of the fleet's budget, and waiting this long at another server is cheaper. */
const REFUSING_COST_MS = 300

/** Cost of an unreachable server, milliseconds: the attempt fails at once, but most crashed servers stay down for a second. */
const UNREACHABLE_COST_MS = 1000

/** Maximum cost of a server that is still slow after its start, milliseconds. */
const MAX_COLD_COST_MS = 20

/** Cost of another failure domain, milliseconds: the round trip and the price of the bytes transferred. */
const REMOTE_DOMAIN_COST_MS = 2

/** Cost of a change of weights, milliseconds: the server waits for running requests and then loads. */
const CHANGING_COST_MS = 1500

/**
 * Cost of outdated weights, as a share of the objective. Answers on old weights earn a fifth less; a first event
 * expected at four fifths of the objective instead of a third loses as much through the risk of being late.
 */
const OUTDATED_COST_SHARE = 0.6

/** A first event expected after this share of the objective may be late, since the queue is not known exactly. */
const SAFE_SHARE = 0.7

/** Additional cost of each millisecond beyond SAFE_SHARE: a late answer loses most of its worth. */
const LATE_COST_FACTOR = 3

/**
 * Share of the pause objective for which a server may read without a break. Its running streams get one token for
 * each piece of a prompt that it reads, and an event carries several tokens.
 */
const SAFE_PAUSE_SHARE = 0.6

/** Cost of each millisecond beyond SAFE_PAUSE_SHARE: all running streams of the server are late by it. */
const PAUSE_COST_FACTOR = 4

/**
 * Cost of the time by which reading this prompt too pauses the running streams of the server for longer than their
 * objective. A slow server pauses them the longest, and a faster one can read a large prompt instead.
 */
function pauseCostMs ({ waitingTokens, missingTokens, outstanding, tokensPerMs }: ServerCandidate, { pauseObjectiveMs }: PlacementNeed): number {
  if (pauseObjectiveMs === undefined || outstanding === 0) {
    return 0
  }
  const overMs = (tokens: number): number => Math.max(0, tokens / tokensPerMs - SAFE_PAUSE_SHARE * pauseObjectiveMs)
  return PAUSE_COST_FACTOR * (overMs(waitingTokens + missingTokens) - overMs(waitingTokens))
}

/** How long a request waits for memory that others occupy, milliseconds; an engine that preempts them instead reads them twice. */
function memoryWaitMs ({ heldTokens, memoryTokens, tokensPerMs }: ServerCandidate, { promptTokens, outputTokens }: PlacementNeed): number {
  const over = heldTokens + promptTokens + outputTokens - memoryTokens
  return memoryTokens === 0 ? 0 : Math.max(0, over) / (FREED_RATIO * tokensPerMs)
}

/** Additional time until the shared levels are available at a server other than their home, milliseconds. */
function awayFromHomeCostMs ({ missingTokens, tokensPerMs }: ServerCandidate, { fetchMs, fetchWaitMs, promptTokens, sharedTokens }: PlacementNeed): number {
  const isKept = missingTokens < promptTokens
  return isKept
    ? fetchMs + Math.min(MAX_LINK_WAIT_MS, fetchWaitMs * FOUND_AT_HOME_SHARE)
    : Math.max(fetchMs, FOUND_UNRECORDED_SHARE * sharedTokens / tokensPerMs)
}

/** Cost of a request without a prompt, milliseconds. */
function plainCostMs ({ outstanding, slots }: ServerCandidate, { workMs }: PlacementNeed): number {
  const over = Math.max(0, outstanding + 1 - slots)
  return (over + outstanding / Math.max(1, slots)) * workMs
}

/** Time until the first token of a request with a prompt, milliseconds, plus a cost where it is likely to be late. */
function promptCostMs (candidate: ServerCandidate, need: PlacementNeed, isHome: boolean): number {
  const { outstanding, waitingTokens, missingTokens, tokensPerMs } = candidate
  const expected = (waitingTokens + missingTokens) / tokensPerMs + outstanding * REQUEST_COST_MS + memoryWaitMs(candidate, need) + (isHome ? 0 : awayFromHomeCostMs(candidate, need))
  return expected + LATE_COST_FACTOR * Math.max(0, expected - SAFE_SHARE * need.objectiveMs) + pauseCostMs(candidate, need)
}

/** Expected cost of a candidate, in milliseconds until the first token. */
function costOf (candidate: ServerCandidate, need: PlacementNeed, isHome: boolean): number {
  return (need.promptKey === undefined ? plainCostMs(candidate, need) : promptCostMs(candidate, need, isHome)) +
    (candidate.failureDomain === need.failureDomain ? 0 : REMOTE_DOMAIN_COST_MS) +
    candidate.faultCostMs +
    (candidate.isRefusing ? REFUSING_COST_MS : 0) +
    (candidate.isUnreachable ? UNREACHABLE_COST_MS : 0) +
    (candidate.isChanging ? CHANGING_COST_MS : 0) +
    (candidate.isOutdated ? OUTDATED_COST_SHARE * need.objectiveMs : 0) +
    Math.min(candidate.coldLeftMs, MAX_COLD_COST_MS)
}

/** The home among reachable servers, if any: while the actual home is unreachable, all instances agree on the same replacement. */
export function presentHome<Place extends HomePlace & Pick<ServerCandidate, 'isUnreachable'>> (promptKey: number, domains: ReadonlySet<string> | undefined, places: readonly Place[]): Place | undefined {
  const present = places.filter(({ isUnreachable }) => !isUnreachable)
  return homeAmong(promptKey, domains, present.length > 0 ? present : places)
}

/** All candidates, the cheapest first; equal ones in random order, so that instances do not all choose the same server. */
export function rankCandidates (candidates: readonly ServerCandidate[], need: PlacementNeed, random: Random): readonly ServerCandidate[] {
  const { promptKey, homeDomains } = need
  const homeHash = need.homeHash ?? (promptKey === undefined ? undefined : presentHome(promptKey, homeDomains, candidates)?.hash)
  return candidates
    // Differences below a millisecond are not significant.
    .map(candidate => ({ candidate, cost: costOf(candidate, need, candidate.hash === homeHash) + random.next() }))
    .sort((a, b) => a.cost - b.cost)
    .map(({ candidate }) => candidate)
}

/** Chooses the cheapest server. */
export function placeExchange (candidates: readonly ServerCandidate[], need: PlacementNeed, random: Random): ServerCandidate | undefined {
  return rankCandidates(candidates, need, random)[0]
}
