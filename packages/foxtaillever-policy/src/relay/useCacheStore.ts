/**
 * Whether a request uses the store of cached prompt levels that is home to its
 * level. The link of a store serves one transfer after another for all engines;
 * at a peak a fetch may wait longer than reading the level again takes, and the
 * first token with it. The limits are times, so that they hold whatever the
 * links move and however many stores there are.
 */

/** The link of a store as a request finds it. */
export interface StoreLink {
  /** Tokens on their way from the store, this request's not counted; see `linkTokens`. */
  readonly tokensOnTheWay: number
  /** What the link moves within a failure domain, tokens a millisecond. */
  readonly tokensPerMs: number
}

/**
 * Announced wait beyond which the level is read rather than fetched,
 * milliseconds. Four in ten of the levels are found at their engine after all,
 * so the true wait is some 190 ms, half of the objective of a first token.
 * Waiting less than that for a fetch is cheaper than reading.
 */
const MOST_FETCH_WAIT_MS = 320

/** Nothing is saved while fetches wait as long, milliseconds: a save can be made up for later. */
const MOST_SAVE_WAIT_MS = 215

/** One that would wait longer is not started, milliseconds. */
const MOST_TRANSFER_MS = 2000

/** A transfer may take that many times what the link's rate says: links are shared unevenly, and some turn slow. */
const TRANSFER_SLACK = 2

/** Until an engine has asked for a transfer and the store has begun it, milliseconds. */
const TRANSFER_SET_UP_MS = 50

/** A transfer between failure domains takes the link for this many times as long. */
const FAR_TIMES = 2

/** Tokens of a transfer as the link feels them. */
export function linkTokens (tokens: number, isFar: boolean): number {
  return isFar ? FAR_TIMES * tokens : tokens
}

/**
 * Until when a transfer counts, milliseconds of Unix time: when those before it
 * and its own must be through. Its request's first event ends it sooner, but says
 * nothing when it comes late: while prompts wait for seconds at the engines,
 * levels that were fetched long ago would keep the link looking full; then levels
 * are read again that could be fetched, and the prompts wait for that too.
 */
export function transferUntil ({ tokensOnTheWay, tokensPerMs }: StoreLink, tokens: number, now: number): number {
  return now + Math.min(MOST_TRANSFER_MS, TRANSFER_SET_UP_MS + TRANSFER_SLACK * (tokensOnTheWay + tokens) / tokensPerMs)
}

export function mayFetch ({ tokensOnTheWay, tokensPerMs }: StoreLink): boolean {
  return tokensOnTheWay <= MOST_FETCH_WAIT_MS * tokensPerMs
}

export function maySave ({ tokensOnTheWay, tokensPerMs }: StoreLink): boolean {
  return tokensOnTheWay <= MOST_SAVE_WAIT_MS * tokensPerMs
}
