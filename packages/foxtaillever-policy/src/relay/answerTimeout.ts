/**
 * When a backend server that sends nothing is considered failed. A connection may
 * go silent without being closed, and a server may hang while its probes answer;
 * only a timeout detects either. Too short a timeout wastes work that is nearly
 * done and retries that are needed elsewhere; too long a timeout leaves the caller
 * without an answer. So the timeout follows the objective and the current answer
 * times of all servers, and leaves time for another attempt.
 */

/** Timeout as a multiple of the objective: an answer that begins later is worth nothing. */
const OBJECTIVE_FACTOR = 2

/** Timeout as a multiple of the usual time: answers hardly ever take longer. */
const USUAL_FACTOR = 6

/** Maximum timeout as a share of the time left: after it, another attempt could not end in time. */
const MAX_WAIT_SHARE = 0.4

/** Without an objective, answers up to this multiple of the usual time are ordinary: they queue and differ in size. */
const ORDINARY_FACTOR = 2

/** Minimum timeout without an objective, milliseconds: a quick service has slow answers too, and a person hardly notices half a second. */
const MIN_TIMEOUT_MS = 500

/** Timeout of a pause within a stream, as a multiple of the objective for pauses. */
const PAUSE_FACTOR = 4

/** Minimum timeout of a pause, milliseconds: engines that read large prompts or load weights pause running streams for hundreds of milliseconds. */
const MIN_PAUSE_MS = 1000

export interface AwaitedAnswer {
  /** When the attempt began, milliseconds of Unix time. */
  readonly sentAt: number
  /** When the caller stops waiting, milliseconds of Unix time. */
  readonly deadline: number
  /** Objective for the time until the first event; 0 for none. */
  readonly objectiveMs: number
  /** Usual time until the answer to such a request begins, milliseconds; undefined when unknown. */
  readonly usualMs: number | undefined
}

/** When the wait for the beginning of an answer times out, milliseconds of Unix time. */
export function firstEventTimeoutAt (awaited: AwaitedAnswer): number {
  const { sentAt, deadline, objectiveMs, usualMs } = awaited
  const maxMs = MAX_WAIT_SHARE * Math.max(0, deadline - sentAt)
  const timeoutMs = objectiveMs === 0 ? timeoutByUsual(maxMs, usualMs) : Math.max(OBJECTIVE_FACTOR * objectiveMs, USUAL_FACTOR * (usualMs ?? 0))
  return timeoutMs === undefined ? deadline : sentAt + Math.min(timeoutMs, maxMs)
}

/**
 * Timeout without an objective; undefined when the usual time is unknown, or so
 * long that a slow answer cannot be told from a silent server before the deadline.
 */
function timeoutByUsual (maxMs: number, usualMs: number | undefined): number | undefined {
  return usualMs === undefined || ORDINARY_FACTOR * usualMs >= maxMs ? undefined : Math.max(MIN_TIMEOUT_MS, USUAL_FACTOR * usualMs)
}

/** When the wait for the next part of an answer times out, milliseconds of Unix time. */
export function nextEventTimeoutAt (receivedAt: number, pauseObjectiveMs: number): number {
  return receivedAt + Math.max(MIN_PAUSE_MS, PAUSE_FACTOR * pauseObjectiveMs)
}
