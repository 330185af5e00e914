/**
 * Load of backend servers from reports, and how much an old report still counts.
 *
 * In a large fleet a load report is as old as the lifetime of the requests that it
 * counts, or older. At full weight it includes requests that have ended: home
 * servers look busy by chance, and requests go to servers that lack their levels.
 * So each figure of a report decays towards zero, at the rate at which it changes.
 */

/** Load of requests on one backend server. */
export interface ServerLoad {
  readonly outstanding: number
  /** Prompt tokens that it has not read yet. */
  readonly tokens: number
  /** Tokens of its memory that the requests occupy until they end. */
  readonly heldTokens: number
}

export const noLoad: ServerLoad = { outstanding: 0, tokens: 0, heldTokens: 0 }

/** Half-life of the reported unread prompts, milliseconds: one is read in 30 to 90, with others before it in some hundred. */
const UNREAD_HALF_LIFE_MS = 100

/** Half-life of the reported requests, milliseconds: half of them run for less, a large one for 150 to 250, a long one for 600. */
const RUNNING_HALF_LIFE_MS = 400

/** Half-life of a report's weight in a sample, milliseconds: with 24 reports a second about ten count. */
const SAMPLE_HALF_LIFE_MS = 300

function decayFactor (ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs)
}

/** The load that a report of that age still counts for. */
export function decayLoad ({ outstanding, tokens, heldTokens }: ServerLoad, ageMs: number): ServerLoad {
  const running = decayFactor(ageMs, RUNNING_HALF_LIFE_MS)
  return { outstanding: outstanding * running, tokens: tokens * decayFactor(ageMs, UNREAD_HALF_LIFE_MS), heldTokens: heldTokens * running }
}

/** The amount that one of many instances reported, and the report's age. */
export interface SampleReport {
  readonly amount: number
  readonly ageMs: number
}

/**
 * Estimates the sum over all reporters from the recent reports: their mean, newer
 * reports weighted higher, times the number of reporters. The sum of the last report
 * of each is less noisy, but seconds old where each reports every few seconds.
 */
export function estimateSum (reports: readonly SampleReport[], reporters: number): number {
  let sum = 0
  let weights = 0
  for (const { amount, ageMs } of reports) {
    const weight = decayFactor(ageMs, SAMPLE_HALF_LIFE_MS)
    sum += weight * amount
    weights += weight
  }
  return weights === 0 ? 0 : sum / weights * reporters
}
