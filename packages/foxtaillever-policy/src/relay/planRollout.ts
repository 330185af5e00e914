/**
 * Which engines change their weights next, and when the order leaves.
 *
 * An engine is steered first: it gets no new work, so that prompts being read
 * and short runs end. Then the order leaves, and runs that are left go on under
 * the new weights, where what they make is worth nothing. Half of the fleet
 * changes as fast as the loads allow, because answers on replaced weights lose
 * a fifth of their worth after a second and a half; the rest has time to let
 * long runs end, since the first half can serve meanwhile.
 */

export enum RolloutPhase {
  Serving = 'serving',
  /** Gets no new work. */
  Steered = 'steered',
  /** An order is being carried out, or may be. */
  Ordered = 'ordered'
}

/** An engine as one decision sees it. */
export interface RolloutEngine {
  readonly id: string
  readonly hasWanted: boolean
  readonly phase: RolloutPhase
  /** How long it has been steered, milliseconds. */
  readonly steeredMs: number
  /** Requests on their way to it or running there. */
  readonly work: number
  readonly slots: number
}

export interface RolloutStep {
  readonly steer: readonly string[]
  readonly order: readonly string[]
}

/** Share of the engines that load at once; above it loads slow down where that was measured: 2 of 6, 12 of 42, 22 of 78. */
const SHARE_AT_ONCE = 0.28

/** Even the smallest fleet changes two, so that it takes half as long. */
const LEAST_AT_ONCE = 2

/** Engines out of service at most, in batches: one loads while the next one is steered. */
const BATCHES_OUT = 2

/** Part of its slots up to which an engine may be filled by what others leave to it. */
const FILLED = 0.5

/** Others hear within 10, and the longest prompts are read in 200 more; no level may be read across the change, milliseconds. */
export const LEAST_STEERED_MS = 250

/** By then nine in ten long runs have ended, milliseconds; the next version is often named by then. */
const PATIENCE_MS = 3000

/** From this share of engines with the new weights on, the others have time. */
const COVERED = 0.5

export function planRollout (engines: readonly RolloutEngine[]): RolloutStep {
  const atOnce = Math.max(LEAST_AT_ONCE, Math.floor(engines.length * SHARE_AT_ONCE))
  const inPhase = (phase: RolloutPhase): RolloutEngine[] => engines.filter(engine => !engine.hasWanted && engine.phase === phase).sort((one, other) => one.work - other.work)
  const steered = inPhase(RolloutPhase.Steered)
  const ordered = engines.filter(({ phase }) => phase === RolloutPhase.Ordered).length
  const patienceMs = isCovered(engines) ? PATIENCE_MS : LEAST_STEERED_MS
  return {
    steer: idsOf(inPhase(RolloutPhase.Serving), mostOut(engines, atOnce) - steered.length - ordered),
    order: idsOf(steered.filter(engine => isDue(engine, patienceMs)), atOnce - ordered)
  }
}

function isDue ({ steeredMs, work }: RolloutEngine, patienceMs: number): boolean {
  return steeredMs >= (work === 0 ? LEAST_STEERED_MS : patienceMs)
}

function isCovered (engines: readonly RolloutEngine[]): boolean {
  const current = engines.filter(({ hasWanted, phase }) => hasWanted && phase === RolloutPhase.Serving).length
  return current >= engines.length * COVERED
}

/** Engines that the load lets out of service; never fewer than may load at once. */
function mostOut (engines: readonly RolloutEngine[], atOnce: number): number {
  const work = engines.reduce((sum, engine) => sum + engine.work, 0)
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0) / Math.max(1, engines.length)
  const needed = Math.ceil(work / Math.max(1, slots * FILLED))
  return Math.min(atOnce * BATCHES_OUT, Math.max(atOnce, engines.length - needed))
}

function idsOf (engines: readonly RolloutEngine[], most: number): string[] {
  return engines.slice(0, Math.max(0, most)).map(({ id }) => id)
}
