/**
 * When the silence of a backend server is taken for its failure. A connection
 * may go silent for good without being closed, and a server may hang while its
 * probes answer; only time shows either. Too early wastes work that is nearly
 * done and retries that are needed elsewhere; too late leaves the caller with
 * nothing. So the bound follows the objective and what other servers do at the
 * time, and leaves time for another try.
 */

/** An answer that began, or not, until then is of no worth within the objective. */
const OBJECTIVES = 2

/** Answers hardly ever take this many times the usual. */
const TIMES_USUAL = 6

/** Part of the time left after which another try could not end in time. */
const LATEST_PART = 0.4

/** Without an objective, answers up to this many times the usual are ordinary: they queue, and differ in size. */
const ORDINARY_TIMES = 2

/** Without an objective, the least that is waited, milliseconds: a quick service has slow answers too, and half a second is no more than a person notices. */
const LEAST_PATIENCE_MS = 500

/** Times the objective of pauses within a stream that is on its way. */
const PAUSES = 4

/** Engines that read large prompts, or load weights, pause running streams for hundreds of milliseconds. */
const LEAST_PAUSE_MS = 1000

export interface SilentTry {
  /** When the try began, milliseconds of Unix time. */
  readonly sentAt: number
  /** When the caller stops waiting, milliseconds of Unix time. */
  readonly deadline: number
  /** 0 for none. */
  readonly objectiveMs: number
  /** What such requests usually take until their answer begins, milliseconds; undefined when unknown. */
  readonly usualMs: number | undefined
}

/** Until when the beginning of an answer is awaited, milliseconds of Unix time. */
export function awaitFirstUntil (silent: SilentTry): number {
  const { sentAt, deadline, objectiveMs, usualMs } = silent
  const latest = LATEST_PART * Math.max(0, deadline - sentAt)
  const patience = objectiveMs === 0 ? patienceByUsual(latest, usualMs) : Math.max(OBJECTIVES * objectiveMs, TIMES_USUAL * (usualMs ?? 0))
  return patience === undefined ? deadline : sentAt + Math.min(patience, latest)
}

/**
 * Patience where nobody said how fast answers should be; undefined when nothing
 * is usual yet, or when what is usual leaves no time to tell silence from work.
 */
function patienceByUsual (latest: number, usualMs: number | undefined): number | undefined {
  return usualMs === undefined || ORDINARY_TIMES * usualMs >= latest ? undefined : Math.max(LEAST_PATIENCE_MS, TIMES_USUAL * usualMs)
}

/** Until when the next part of an answer is awaited, milliseconds of Unix time. */
export function awaitNextUntil (heardAt: number, pauseObjectiveMs: number): number {
  return heardAt + Math.max(LEAST_PAUSE_MS, PAUSES * pauseObjectiveMs)
}
