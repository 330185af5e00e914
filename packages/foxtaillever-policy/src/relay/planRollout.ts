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
  /** How long there have been newer weights than its own, milliseconds. */
  readonly outdatedMs: number
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

/**
 * An engine with weights replaced that long ago goes first, however much it
 * runs, milliseconds. With versions named in quick succession the one with the
 * most work would else come last each time, until it may begin nothing more.
 */
const OVERDUE_MS = 4000

/** From this share of engines with the new weights on, the others have time, if so many can serve the load. */
const COVERED = 0.5

export function planRollout (engines: readonly RolloutEngine[]): RolloutStep {
  const atOnce = Math.max(LEAST_AT_ONCE, Math.floor(engines.length * SHARE_AT_ONCE))
  const inPhase = (phase: RolloutPhase): RolloutEngine[] => engines.filter(engine => !engine.hasWanted && engine.phase === phase).sort(compare)
  const steered = inPhase(RolloutPhase.Steered)
  const ordered = engines.filter(({ phase }) => phase === RolloutPhase.Ordered).length
  const patienceMs = isCovered(engines) ? PATIENCE_MS : LEAST_STEERED_MS
  return {
    steer: idsOf(inPhase(RolloutPhase.Serving), mostOut(engines, atOnce) - steered.length - ordered),
    order: idsOf(steered.filter(engine => isDue(engine, patienceMs)), atOnce - ordered)
  }
}

/** Overdue engines first, the oldest of them first; then those with the least work. */
function compare (one: RolloutEngine, other: RolloutEngine): number {
  return overdueMs(other) - overdueMs(one) || one.work - other.work
}

function overdueMs ({ outdatedMs }: RolloutEngine): number {
  return outdatedMs >= OVERDUE_MS ? outdatedMs : 0
}

function isDue (engine: RolloutEngine, patienceMs: number): boolean {
  const isHurried = engine.work === 0 || overdueMs(engine) > 0
  return engine.steeredMs >= (isHurried ? LEAST_STEERED_MS : patienceMs)
}

function isCovered (engines: readonly RolloutEngine[]): boolean {
  const current = engines.filter(({ hasWanted, phase }) => hasWanted && phase === RolloutPhase.Serving).length
  return current >= Math.min(engines.length / 2, Math.max(engines.length * COVERED, enginesNeeded(engines)))
}

/** Engines that hold the load without being filled too far. */
function enginesNeeded (engines: readonly RolloutEngine[]): number {
  const work = engines.reduce((sum, engine) => sum + engine.work, 0)
  const slots = engines.reduce((sum, engine) => sum + engine.slots, 0) / Math.max(1, engines.length)
  return Math.ceil(work / Math.max(1, slots * FILLED))
}

/** Engines that the load lets out of service; never fewer than may load at once. */
function mostOut (engines: readonly RolloutEngine[], atOnce: number): number {
  return Math.min(atOnce * BATCHES_OUT, Math.max(atOnce, engines.length - enginesNeeded(engines)))
}

function idsOf (engines: readonly RolloutEngine[], most: number): string[] {
  return engines.slice(0, Math.max(0, most)).map(({ id }) => id)
}
