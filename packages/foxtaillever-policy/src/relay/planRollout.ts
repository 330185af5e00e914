/**
 * Decides which engines change their weights next, and when each gets its order.
 *
 * An engine is steered first: it gets no new work, so that it finishes reading
 * prompts and ends short runs. Then it gets the order to load. Runs that are left
 * continue on the new weights, and their output is worth nothing. Half of the fleet
 * changes as fast as loading allows, because answers on replaced weights lose a
 * fifth of their worth after a second and a half. The other half serves on until
 * its long runs have ended, since the first half takes the new requests.
 *
 * After a change an engine reads all prompts again, and the first engines to change
 * do so for the whole fleet. An engine that is steered before it may load, or idles
 * until long runs end, is missing during that time; with four of six engines out of
 * service, requests queue at the other two.
 *
 * So while prompts wait at the serving engines, as after a crash of others or in a
 * burst, fewer change at once: a late answer loses more worth than an answer on
 * replaced weights. Only when weights were replaced too long ago does the rollout
 * continue at full speed regardless.
 */

export enum RolloutPhase {
  Serving = 'serving',
  /** Gets no new work. */
  Steered = 'steered',
  /** The order to load was sent; the engine may be loading. */
  Ordered = 'ordered'
}

/** What a rollout decision knows of an engine. */
export interface RolloutEngine {
  readonly id: string
  readonly hasWanted: boolean
  readonly phase: RolloutPhase
  /** How long it has been steered, milliseconds. */
  readonly steeredMs: number
  /** How long ago its order was sent, milliseconds; 0 without one. */
  readonly orderedMs: number
  /** How long there have been newer weights than its own, milliseconds. */
  readonly outdatedMs: number
  /** Requests sent to it and not yet answered completely. */
  readonly work: number
  /** Time to read the prompts that wait there, milliseconds. */
  readonly waitMs: number
  readonly slots: number
}

export interface RolloutStep {
  readonly steer: readonly string[]
  readonly order: readonly string[]
}

/** Maximum share of engines that load at once; measured loads slow down above it: 2 of 6, 12 of 42, 22 of 78. */
const SHARE_AT_ONCE = 2 / 7

/** Even the smallest fleet changes two engines at once, so that a rollout takes half as long. */
const MIN_AT_ONCE = 2

/**
 * Minimum time of steering, milliseconds: other instances learn of it within 10, and the longest prompts are read in 200
 * more; no level may be read across the change.
 */
export const MIN_STEERED_MS = 250

/** Maximum time of steering, milliseconds: runs with a short output take 660 on average, and an engine of the second half lets most of them end. */
const MAX_STEERED_MS = 750

/**
 * An engine whose order was sent this long ago has loaded by the time that the next one has been steered, milliseconds:
 * loading takes 420 and shows in reports after 650.
 */
const NEARLY_LOADED_MS = 350

/** With up to this share of its slots in use, an engine has hardly any long runs left; short ones end while it is steered. */
const CALM_WORK_SHARE = 0.06

/**
 * How long an engine of the second half may serve on replaced weights, milliseconds: it
 * loses a fifth of its worth of 13 a second from 1.5 s on, while a change costs 4.5 and
 * its lost runs some 2.5. Where versions come faster, it skips to the next one.
 */
const MAX_DEFERRAL_MS = 3600

/**
 * An engine whose weights were replaced this long ago does not wait for its runs to end,
 * milliseconds. Otherwise, with versions published in quick succession, it would come
 * last each time, until its weights are too old for new requests.
 */
const OVERDUE_MS = 4000

/**
 * Once the weights of an engine were replaced this long ago, engines change as fast as
 * loading allows, however long prompts wait, milliseconds: the last of thirteen, three at
 * once and a second each, is done four seconds later.
 */
const OVERDUE_UNDER_LOAD_MS = 2500

/** Once this share of engines has the new weights, the others may wait for their runs to end. */
const COVERED_SHARE = 0.5

/** Average wait up to which prompts are read well within any objective, milliseconds. */
const CALM_WAIT_MS = 60

/** Average wait at which one engine fewer makes most prompts late, milliseconds. */
const OVERLOAD_WAIT_MS = 200

/** Minimum of engines that change at once while prompts wait: the bound on replaced weights still applies. */
const MIN_AT_ONCE_UNDER_LOAD = 1

/** How many engines may be out of service at once. */
function maxAtOnce (engines: readonly RolloutEngine[]): number {
  const max = Math.max(MIN_AT_ONCE, Math.floor(engines.length * SHARE_AT_ONCE))
  const serving = engines.filter(({ phase }) => phase === RolloutPhase.Serving)
  if (serving.length === 0 || engines.some(({ hasWanted, outdatedMs }) => !hasWanted && outdatedMs >= OVERDUE_UNDER_LOAD_MS)) {
    return max
  }
  const wait = serving.reduce((sum, { waitMs }) => sum + waitMs, 0) / serving.length
  const pressure = Math.min(1, Math.max(0, (wait - CALM_WAIT_MS) / (OVERLOAD_WAIT_MS - CALM_WAIT_MS)))
  return Math.max(MIN_AT_ONCE_UNDER_LOAD, Math.round(max - pressure * (max - MIN_AT_ONCE_UNDER_LOAD)))
}

export function planRollout (engines: readonly RolloutEngine[]): RolloutStep {
  const atOnce = maxAtOnce(engines)
  const inPhase = (phase: RolloutPhase): RolloutEngine[] => engines.filter(engine => !engine.hasWanted && engine.phase === phase).sort(compareEngines)
  const steered = inPhase(RolloutPhase.Steered)
  const ordered = engines.filter(({ phase }) => phase === RolloutPhase.Ordered)
  const stillLoading = ordered.filter(({ orderedMs }) => orderedMs < NEARLY_LOADED_MS).length
  const mayWait = isCovered(engines)
  const due = inPhase(RolloutPhase.Serving).filter(engine => !mayWait || isDue(engine))
  return {
    steer: idsOf(due, atOnce - steered.length - stillLoading),
    order: idsOf(steered.filter(engine => isReady(engine, mayWait)), atOnce - ordered.length)
  }
}

/** Engines with the longest replaced weights first, since one that has just changed would read all prompts again twice; then those with the least work. */
function compareEngines (a: RolloutEngine, b: RolloutEngine): number {
  return b.outdatedMs - a.outdatedMs || a.work - b.work
}

/** Whether an engine need not continue to serve until its long runs end. */
function isDue (engine: RolloutEngine): boolean {
  return isCalm(engine) || engine.outdatedMs >= MAX_DEFERRAL_MS
}

function isCalm ({ work, slots }: RolloutEngine): boolean {
  return work <= Math.max(1, slots * CALM_WORK_SHARE)
}

/** Whether a steered engine need not wait any longer for its runs to end. */
function isReady (engine: RolloutEngine, mayWait: boolean): boolean {
  const isHurried = !mayWait || isCalm(engine) || engine.outdatedMs >= OVERDUE_MS
  return engine.steeredMs >= (isHurried ? MIN_STEERED_MS : MAX_STEERED_MS)
}

/** Engines that are loading count: they serve again before an engine that is steered now gets its order. */
function isCovered (engines: readonly RolloutEngine[]): boolean {
  return engines.filter(({ hasWanted, phase }) => hasWanted || phase === RolloutPhase.Ordered).length >= engines.length * COVERED_SHARE
}

function idsOf (engines: readonly RolloutEngine[], max: number): string[] {
  return engines.slice(0, Math.max(0, max)).map(({ id }) => id)
}
