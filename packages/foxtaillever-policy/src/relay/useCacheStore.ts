/**
 * Whether a request uses the store of cached prompt levels. Its link serves one
 * transfer after another for all engines; at a peak a fetch may wait longer
 * than reading the level again takes, and the first token with it.
 */

/** The link of the store as a request finds it. */
export interface StoreLink {
  /** Tokens on their way from the store, this request's not counted. */
  readonly tokensOnTheWay: number
}

/**
 * Tokens on their way beyond which the level is read rather than fetched. The
 * store moves some 140 tokens a millisecond, and four in ten of these are found
 * at their engine after all: so the wait is some 200 ms, half of the objective
 * of a first token. Waiting less than that for a fetch is cheaper than reading.
 */
const MOST_TOKENS_ON_THE_WAY = 45_000

/** Nothing is saved while fetches wait, tokens on their way: a save can be made up for later. */
const MOST_TOKENS_FOR_SAVE = 30_000

export function mayFetch ({ tokensOnTheWay }: StoreLink): boolean {
  return tokensOnTheWay <= MOST_TOKENS_ON_THE_WAY
}

export function maySave ({ tokensOnTheWay }: StoreLink): boolean {
  return tokensOnTheWay <= MOST_TOKENS_FOR_SAVE
}
