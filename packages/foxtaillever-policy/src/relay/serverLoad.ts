/**
 * Load of backend servers as told words, and what an old word is still worth.
 *
 * In a large fleet a word of load is as old as the requests that it speaks of
 * live, or older. Counted whole it shows requests that have ended: homes look
 * busy by chance, and requests leave them for servers that lack their levels.
 * So a word fades towards "as idle as any other", each part at the pace at
 * which it changes.
 */

/** What requests put on one backend server. */
export interface ServerLoad {
  readonly outstanding: number
  /** Prompt tokens that it has yet to read. */
  readonly tokens: number
  /** Tokens of its memory that they take until they end. */
  readonly heldTokens: number
}

export const noLoad: ServerLoad = { outstanding: 0, tokens: 0, heldTokens: 0 }

/** A word on prompts counts half after this, milliseconds: one is read in 30 to 90, with others before it in some hundred. */
const UNREAD_HALF_LIFE_MS = 100

/** A word on requests counts half after this, milliseconds: half of them run for less, a large one for 150 to 250, a long one for 600. */
const RUNNING_HALF_LIFE_MS = 400

/** A word in a sample counts half after this, milliseconds: with 24 words a second some ten weigh in. */
const SAMPLE_HALF_LIFE_MS = 300

function half (ageMs: number, halfLifeMs: number): number {
  return 0.5 ** (Math.max(0, ageMs) / halfLifeMs)
}

/** What is left of a word of that age. */
export function fadeLoad ({ outstanding, tokens, heldTokens }: ServerLoad, ageMs: number): ServerLoad {
  const running = half(ageMs, RUNNING_HALF_LIFE_MS)
  return { outstanding: outstanding * running, tokens: tokens * half(ageMs, UNREAD_HALF_LIFE_MS), heldTokens: heldTokens * running }
}

/** The amount that one of many told, and how long ago. */
export interface SampleWord {
  readonly amount: number
  readonly ageMs: number
}

/**
 * The sum over all tellers, from those heard of late: their mean, the newer the
 * weightier, times the number of tellers. The sum of everybody's last word is
 * less noisy, but seconds old where each is heard every few seconds.
 */
export function sampleSum (words: readonly SampleWord[], tellers: number): number {
  let sum = 0
  let weights = 0
  for (const { amount, ageMs } of words) {
    const weight = half(ageMs, SAMPLE_HALF_LIFE_MS)
    sum += weight * amount
    weights += weight
  }
  return weights === 0 ? 0 : sum / weights * tellers
}
