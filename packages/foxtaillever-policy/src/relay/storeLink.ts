/**
 * Decides whether a request uses the store of cached prompt levels that is the home
 * of its level. The link of a store serves one transfer after another for all
 * engines; at a peak a fetch may wait longer than reading the level again takes and
 * delay the first token. The limits are times, so that they apply to any speed of
 * the links and any number of stores.
 */

/** State of a store's link when a request is placed. */
export interface StoreLink {
  /** Tokens of transfers in progress or waiting, this request's not counted; see `linkTokens`. */
  readonly tokensInTransit: number
  /** Speed of the link within a failure domain, tokens a millisecond. */
  readonly tokensPerMs: number
}

/**
 * Computed wait beyond which the level is read instead of fetched, milliseconds.
 * Four in ten levels turn out to be cached at their engine, so the true wait is
 * some 190 ms, half of the objective of a first token. Waiting less than that for
 * a fetch is cheaper than reading.
 */
const MAX_FETCH_WAIT_MS = 320

/** Nothing is saved while fetches wait longer than this, milliseconds: a later request can save the level instead. */
const MAX_SAVE_WAIT_MS = 215

/** Maximum time for which a transfer counts, milliseconds; transfers that would wait longer are not started. */
const MAX_TRANSFER_MS = 2000

/** A transfer may take this multiple of the time computed from the link's speed: links are shared unevenly, and some become slow. */
const TRANSFER_SLACK = 2

/** Time until an engine has requested a transfer and the store has begun it, milliseconds. */
const TRANSFER_SET_UP_MS = 50

/** A transfer between failure domains occupies the link this many times as long. */
const REMOTE_TRANSFER_FACTOR = 2

/** Tokens of a transfer, weighted by how long it occupies the link. */
export function linkTokens (tokens: number, isRemote: boolean): number {
  return isRemote ? REMOTE_TRANSFER_FACTOR * tokens : tokens
}

/**
 * Until when a transfer counts, milliseconds of Unix time: by then the transfers
 * before it and the transfer itself must be complete. The first event of its request
 * ends it sooner, but may come long after the transfer: while prompts wait for
 * seconds at the engines, the link would look full of completed transfers, and
 * levels would be read again although they could be fetched, which makes prompts
 * wait even longer.
 */
export function transferExpiresAt ({ tokensInTransit, tokensPerMs }: StoreLink, tokens: number, now: number): number {
  return now + Math.min(MAX_TRANSFER_MS, TRANSFER_SET_UP_MS + TRANSFER_SLACK * (tokensInTransit + tokens) / tokensPerMs)
}

export function mayFetch ({ tokensInTransit, tokensPerMs }: StoreLink): boolean {
  return tokensInTransit <= MAX_FETCH_WAIT_MS * tokensPerMs
}

export function maySave ({ tokensInTransit, tokensPerMs }: StoreLink): boolean {
  return tokensInTransit <= MAX_SAVE_WAIT_MS * tokensPerMs
}
