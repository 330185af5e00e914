/**
 * Lowers the priority of requests that would be late anyway.
 *
 * Load pattern: for a while more prompts arrive than the engines can read, as in a
 * burst, after some engines crashed, or while all levels are read again for new
 * weights. Served in order of arrival, every request waits for the whole queue, and
 * soon nearly all get their first event late until the overload ends. Rejecting
 * requests does not help: a late answer earns a fraction of one in time, a rejected
 * request nothing.
 *
 * So a request that the queue would make late yields: it is sent at once with a
 * less urgent priority, and the engine reads it when no request that can still be
 * in time is waiting. The queue of the other requests stays shorter than the
 * objective, engines never idle, and no request is held back here. Each instance
 * decides by its own view of the queue; a wrong decision affects one request.
 */

/**
 * Share of the objective up to which a request is expected to be in time. Under
 * overload the first event comes some hundred milliseconds later than expected, a
 * sixth of the objectives in use.
 */
const FEASIBLE_SHARE = 0.8

/**
 * Minimum share of the objective that reading a prompt must take for the request to yield: twenty shorter prompts fill
 * an objective. Large prompts make up a queue of seconds; a short prompt before them delays each by some milliseconds,
 * and behind them it is late. The expected wait covers all waiting prompts, although engines read more urgent ones first.
 */
const MIN_READ_SHARE = 0.05

/** Added to the priority of a request that yields; requests that yield keep their order among themselves. */
const YIELD_STEP = 5

/** Least urgent priority that engines accept. */
export const LEAST_URGENT_PRIORITY = 9

export interface ExpectedStart {
  /** Since its caller sent the request, milliseconds. */
  readonly elapsedMs: number
  /** Expected time until the prompts before it are read, milliseconds. */
  readonly waitMs: number
  /** Expected time to read its own prompt after that, milliseconds. */
  readonly readMs: number
  /** Objective for the time until the first event, milliseconds. */
  readonly objectiveMs: number
}

/** Whether the queue makes the request late. A request keeps its priority when its prompt is short, or when it is late by its own size and hardly has to wait. */
export function shouldYield ({ elapsedMs, waitMs, readMs, objectiveMs }: ExpectedStart): boolean {
  const maxMs = FEASIBLE_SHARE * objectiveMs
  return readMs > MIN_READ_SHARE * objectiveMs && waitMs > maxMs / 2 && elapsedMs + waitMs + readMs > maxMs
}

export function yieldPriority (priority: number): number {
  return Math.min(LEAST_URGENT_PRIORITY, priority + YIELD_STEP)
}
