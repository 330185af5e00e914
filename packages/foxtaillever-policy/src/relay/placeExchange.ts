/**
 * Chooses the backend server of a relayed request.
 *
 * Requests that share a prompt level go to the server that computed homes name
 * for it, so that all instances agree without a word and each level is read
 * once. A home that is busy, failing or about to change its weights loses to
 * the next one when waiting for it would cost more than fetching the level
 * there. Everything is one cost in milliseconds until the first token.
 */
import type { Random } from 'foxtaillever-core'
import { homeOf } from './levelHome.js'

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
  /** What its faults and slowness of late make a request there cost, milliseconds. */
  readonly faultCostMs: number
  /** It changes its weights now or will in a moment. */
  readonly isChanging: boolean
  /** Its weights are older than those wanted. */
  readonly isOutdated: boolean
  /** It takes the runs with a long output. */
  readonly isGathering: boolean
  /** How much longer it is slow after its start, milliseconds. */
  readonly coldLeftMs: number
}

export interface PlacementNeed {
  /** Hash of the levels that requests share; undefined without a prompt. */
  readonly promptKey: number | undefined
  /** Failure domains whose servers may be its home; undefined for all. */
  readonly homeDomains?: ReadonlySet<string> | undefined
  readonly promptTokens: number
  /** Its output may be long. */
  readonly isLong: boolean
  /** Where this instance is. */
  readonly failureDomain: string
}

/** Reading a prompt, tokens a millisecond; what the slowest engines of today do. */
const PREFILL_TOKENS_PER_MS = 110

/** What one more running request adds to each step until the first token, milliseconds. */
const REQUEST_MS = 2

/** Getting the shared levels of a prompt from elsewhere, milliseconds: 1.2 GB at 360 Gbit/s. */
const FETCH_MS = 27

/** A plain request's work, milliseconds; it decides how much a queued one counts. */
const PLAIN_WORK_MS = 20

/** There and back to another failure domain, milliseconds, and the price of the bytes between. */
const DOMAIN_MS = 2

/** A change of weights waits for running requests and then loads, milliseconds. */
const CHANGING_MS = 1500

/** Answers on old weights earn less; a fifth of a second of waiting is about as bad. */
const OUTDATED_MS = 200

/** A long run among short ones hinders the next change of weights; an engine that gathers them may hold 50 more requests than another, milliseconds. */
const ASTRAY_MS = 100

/** Expected cost, milliseconds until the first token. */
function costOf (offer: ServerOffer, need: PlacementNeed, isHome: boolean): number {
  const { outstanding, slots, waitingTokens } = offer
  const over = Math.max(0, outstanding + 1 - slots)
  const work = need.promptKey === undefined
    ? over * PLAIN_WORK_MS + outstanding / Math.max(1, slots) * PLAIN_WORK_MS
    : waitingTokens / PREFILL_TOKENS_PER_MS + outstanding * REQUEST_MS + (isHome ? 0 : FETCH_MS)
  return work +
    (offer.failureDomain === need.failureDomain ? 0 : DOMAIN_MS) +
    offer.faultCostMs +
    (offer.isChanging ? CHANGING_MS : 0) +
    (offer.isOutdated ? OUTDATED_MS : 0) +
    (need.isLong && !offer.isGathering ? ASTRAY_MS : 0) +
    Math.min(offer.coldLeftMs, PLAIN_WORK_MS)
}

/** The home among the offers; those of another failure domain only where there is none in its own. */
function homeAmong (offers: readonly ServerOffer[], { promptKey, homeDomains }: PlacementNeed): string {
  if (promptKey === undefined) {
    return ''
  }
  const near = homeDomains ? offers.filter(({ failureDomain }) => homeDomains.has(failureDomain)) : offers
  return homeOf(promptKey, near.length > 0 ? near : offers)?.id ?? ''
}

/** The cheapest server; among equals a random one, so that instances do not all take the same. */
export function placeExchange (offers: readonly ServerOffer[], need: PlacementNeed, random: Random): ServerOffer | undefined {
  const home = homeAmong(offers, need)
  let chosen: ServerOffer | undefined
  let least = Infinity
  for (const offer of offers) {
    // Less than a millisecond tells nothing.
    const cost = costOf(offer, need, offer.id === home) + random.next()
    if (cost < least) {
      least = cost
      chosen = offer
    }
  }
  return chosen
}
