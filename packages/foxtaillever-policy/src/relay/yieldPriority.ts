/**
 * Which requests go behind the others in the engines' queues.
 *
 * Load pattern: for a while more prompts come than the engines can read, as in a
 * burst, after a crash of some, or while all levels are read anew for new
 * weights. Served in the order of their arrival, all wait as long as the queue is,
 * and soon nearly all get their first event late, for as long as the pressure
 * lasts; no rejection is needed for it, and none mends it. A late answer earns a
 * fraction of one in time, a rejected one nothing.
 *
 * So a request that would be late by the queue before it yields: it is sent at
 * once, but with a less urgent priority, and read when nothing is left that can
 * still be in time. The queue of the others stays shorter than the objective,
 * engines never stand idle for it, and nothing is held back here. Each instance
 * decides alone, by what is known of the queue; one that errs sends one request
 * too many to either side.
 */

/**
 * Part of the objective up to which a request counts as one that can be in time.
 * Under pressure the first event comes some hundred milliseconds later than
 * expected, a sixth of the objectives in use.
 */
const FEASIBLE_PART = 0.8

/**
 * Part of the objective that a prompt must take to read for its yielding to help: twenty shorter ones fill an objective.
 * What waits for seconds are large prompts; a short one before them delays each by some milliseconds, and behind them it
 * is lost. The wait is reckoned over all that wait, though engines let the more urgent go first.
 */
const LEAST_READ_PART = 0.05

/** How far a request that yields goes back; requests that yield keep their order among themselves. */
const YIELD_STEP = 5

/** Least urgent priority of the engines. */
export const LAST_PRIORITY = 9

export interface ExpectedStart {
  /** Since its caller sent the request, milliseconds. */
  readonly elapsedMs: number
  /** Until the prompts before it are read, milliseconds. */
  readonly waitMs: number
  /** Until its own is, after that, milliseconds. */
  readonly readMs: number
  /** Until the first event, milliseconds. */
  readonly objectiveMs: number
}

/** Whether the queue makes it late. One that is late by its own size goes on as it is, if it need not wait, and so does a short one. */
export function isToYield ({ elapsedMs, waitMs, readMs, objectiveMs }: ExpectedStart): boolean {
  const most = FEASIBLE_PART * objectiveMs
  return readMs > LEAST_READ_PART * objectiveMs && waitMs > most / 2 && elapsedMs + waitMs + readMs > most
}

export function yieldPriority (priority: number): number {
  return Math.min(LAST_PRIORITY, priority + YIELD_STEP)
}
