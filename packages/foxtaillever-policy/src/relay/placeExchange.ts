/**
 * Chooses the backend server of a relayed request.
 *
 * Requests that share a prompt level go to the server that computed homes name
 * for it, so that all instances agree without a word and each level is read
 * once. A home that is busy, failing or about to change its weights loses to
 * the next one when waiting for it would cost more than fetching the level
 * there. Everything is one cost in milliseconds until the first token, by what
 * engines and links were observed or configured to do.
 */
import type { Random } from 'foxtaillever-core'
import { homeAmong, type HomePlace } from './levelHome.js'

/** A server as one decision sees it. */
export interface ServerOffer {
  readonly id: string
  readonly hash: number
  readonly failureDomain: string
  readonly slots: number
  /** Requests on their way to it or running there. */
  readonly outstanding: number
  /** Prompt tokens that it has yet to read. */
  readonly waitingTokens: number
  /** Tokens of this prompt that it would have to read. */
  readonly missingTokens: number
  /** Tokens that the requests there take of its memory until they end. */
  readonly heldTokens: number
  /** Its memory, in tokens; 0 where unknown. */
  readonly memoryTokens: number
  /** It turned a request away a moment ago. */
  readonly isRefusing: boolean
  /** Nobody listened at its address a moment ago. */
  readonly isAbsent: boolean
  /** What its faults and slowness of late make a request there cost, milliseconds. */
  readonly faultCostMs: number
  /** It changes its weights now or will in a moment. */
  readonly isChanging: boolean
  /** Its weights are older than those wanted. */
  readonly isOutdated: boolean
  /** How much longer it is slow after its start, milliseconds. */
  readonly coldLeftMs: number
}

/** What the engines and links of a service do. */
export interface EnginePace {
  /** Prompt tokens read in a millisecond; see `PrefillSpeed`. */
  readonly tokensPerMs: number
  /** Getting the shared level of the prompt from its store within a failure domain, milliseconds. */
  readonly fetchMs: number
}

export interface PlacementNeed {
  /** Hash of the levels that requests share; undefined without a prompt. */
  readonly promptKey: number | undefined
  /** Failure domains whose servers may be its home; undefined for all. */
  readonly homeDomains?: ReadonlySet<string> | undefined
  /** Hash of the home among all servers; it is looked for among the offers where undefined. */
  readonly homeHash?: number | undefined
  readonly promptTokens: number
  /** Those of the levels that other requests share. */
  readonly sharedTokens: number
  /** At most. */
  readonly outputTokens: number
  readonly pace: EnginePace
  /** Until the first event, milliseconds. */
  readonly objectiveMs: number
  /** A plain request's work, milliseconds; it decides how much a queued one counts. */
  readonly workMs: number
  /** How long a fetch waits for the link of the level's store, milliseconds. */
  readonly fetchWaitMs: number
  /** Where this instance is. */
  readonly failureDomain: string
}

/** What one more running request adds to each step until the first token, milliseconds. */
const REQUEST_MS = 2

/** Part of the requests that find their level at its home, and need not wait for the link there. */
const FOUND_AT_HOME = 0.5

/**
 * Part of the requests that find a level at its home though nobody here knows of it:
 * it was saved more than ten seconds ago, or before this instance started.
 */
const FOUND_UNKNOWN = 0.4

/** A level that cannot be fetched in time is read again, which costs more than an answer in time earns; callers wait that long for it to be found instead, milliseconds. */
const MOST_LINK_MS = 250

/** Memory is freed as requests end, about half as fast as prompts are read: eight of 9,200 tokens, read at 110 a millisecond, end within 1.5 seconds. */
const FREED_PART = 0.45

/** What was turned away costs a retry of the fleet's budget; waiting that long elsewhere is cheaper, milliseconds. */
const REFUSING_MS = 300

/** A try where nobody listens costs a connection and comes back at once, but most that crash stay away for a second, milliseconds. */
const ABSENT_MS = 1000

/** How much of its coldness a request meets at most at a server that has just started, milliseconds. */
const MOST_COLD_MS = 20

/** There and back to another failure domain, milliseconds, and the price of the bytes between. */
const DOMAIN_MS = 2

/** A change of weights waits for running requests and then loads, milliseconds. */
const CHANGING_MS = 1500

/** Answers on old weights earn a fifth less; a first event expected at four fifths of the objective rather than a third risks as much by being late. */
const OUTDATED_PART = 0.6

/** From this part of the objective on a first event may be late, by what is not known of the queue before it. */
const SAFE_PART = 0.7

/** A late answer loses most of its worth: each millisecond beyond the safe part counts that many times more. */
const LATE_TIMES = 3

/** How long a request waits for others to leave the memory, milliseconds; an engine that preempts them instead reads them twice. */
function memoryMs ({ heldTokens, memoryTokens }: ServerOffer, { promptTokens, outputTokens, pace }: PlacementNeed): number {
  const over = heldTokens + promptTokens + outputTokens - memoryTokens
  return memoryTokens === 0 ? 0 : Math.max(0, over) / (FREED_PART * pace.tokensPerMs)
}

/** How much later the shared levels are there elsewhere than at their home, milliseconds. */
function awayMs ({ missingTokens }: ServerOffer, { fetchWaitMs, promptTokens, sharedTokens, pace }: PlacementNeed): number {
  const isKept = missingTokens < promptTokens
  return isKept
    ? pace.fetchMs + Math.min(MOST_LINK_MS, fetchWaitMs * FOUND_AT_HOME)
    : Math.max(pace.fetchMs, FOUND_UNKNOWN * sharedTokens / pace.tokensPerMs)
}

/** Of a request without a prompt, milliseconds. */
function plainMs ({ outstanding, slots }: ServerOffer, { workMs }: PlacementNeed): number {
  const over = Math.max(0, outstanding + 1 - slots)
  return (over + outstanding / Math.max(1, slots)) * workMs
}

/** Until the first token of a request with a prompt, milliseconds, and more than that where it is likely late. */
function promptMs (offer: ServerOffer, need: PlacementNeed, isHome: boolean): number {
  const { outstanding, waitingTokens, missingTokens } = offer
  const expected = (waitingTokens + missingTokens) / need.pace.tokensPerMs + outstanding * REQUEST_MS + memoryMs(offer, need) + (isHome ? 0 : awayMs(offer, need))
  return expected + LATE_TIMES * Math.max(0, expected - SAFE_PART * need.objectiveMs)
}

/** Expected cost, milliseconds until the first token. */
function costOf (offer: ServerOffer, need: PlacementNeed, isHome: boolean): number {
  return (need.promptKey === undefined ? plainMs(offer, need) : promptMs(offer, need, isHome)) +
    (offer.failureDomain === need.failureDomain ? 0 : DOMAIN_MS) +
    offer.faultCostMs +
    (offer.isRefusing ? REFUSING_MS : 0) +
    (offer.isAbsent ? ABSENT_MS : 0) +
    (offer.isChanging ? CHANGING_MS : 0) +
    (offer.isOutdated ? OUTDATED_PART * need.objectiveMs : 0) +
    Math.min(offer.coldLeftMs, MOST_COLD_MS)
}

/** The home among servers that are there, if any: while it is not, all agree on the next one rather than each on another. */
export function presentHome<Place extends HomePlace & Pick<ServerOffer, 'isAbsent'>> (promptKey: number, domains: ReadonlySet<string> | undefined, places: readonly Place[]): Place | undefined {
  const present = places.filter(({ isAbsent }) => !isAbsent)
  return homeAmong(promptKey, domains, present.length > 0 ? present : places)
}

/** All offers, the cheapest first; equals in random order, so that instances do not all take the same. */
export function rankOffers (offers: readonly ServerOffer[], need: PlacementNeed, random: Random): readonly ServerOffer[] {
  const { promptKey, homeDomains } = need
  const homeHash = need.homeHash ?? (promptKey === undefined ? undefined : presentHome(promptKey, homeDomains, offers)?.hash)
  return offers
    // Less than a millisecond tells nothing.
    .map(offer => ({ offer, cost: costOf(offer, need, offer.hash === homeHash) + random.next() }))
    .sort((one, other) => one.cost - other.cost)
    .map(({ offer }) => offer)
}

/** The cheapest server. */
export function placeExchange (offers: readonly ServerOffer[], need: PlacementNeed, random: Random): ServerOffer | undefined {
  return rankOffers(offers, need, random)[0]
}
