/**
 * Which engines change their weights next, and when the order leaves.
 *
 * An engine is steered first: it gets no new work, so that prompts being read
 * and short runs end. Then the order leaves, and runs that are left go on under
 * the new weights, where what they make is worth nothing. Half of the fleet
 * changes as fast as the loads allow, because answers on replaced weights lose
 * a fifth of their worth after a second and a half; the rest serves on until
 * its long runs have ended, since the first half takes the new ones.
 *
 * All engines read all prompts anew after a change, the first ones for everyone.
 * An engine that is steered before its turn to load, or stands idle for the end
 * of long runs, is missing just then; with four of six out, the other two queue.
 *
 * So while prompts wait at the engines that serve, as after a crash of others or
 * in a burst, fewer change at once: a late answer loses more than one on replaced
 * weights. Only what the bound on replaced weights asks for goes on regardless.
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
  /** How long ago its order left, milliseconds; 0 without one. */
  readonly orderedMs: number
  /** How long there have been newer weights than its own, milliseconds. */
  readonly outdatedMs: number
  /** Requests on their way to it or running there. */
  readonly work: number
  /** How long the prompts that wait there take to read, milliseconds. */
  readonly waitMs: number
  readonly slots: number
}

export interface RolloutStep {
  readonly steer: readonly string[]
  readonly order: readonly string[]
}

/** Share of the engines that load at once; above it loads slow down where that was measured: 2 of 6, 12 of 42, 22 of 78. */
const SHARE_AT_ONCE = 2 / 7

/** Even the smallest fleet changes two, so that it takes half as long. */
const LEAST_AT_ONCE = 2

/** Others hear within 10, and the longest prompts are read in 200 more; no level may be read across the change, milliseconds. */
export const LEAST_STEERED_MS = 250

/** Runs with a short output take 660 on average: an engine of the second half lets most of them end, milliseconds. */
const MOST_STEERED_MS = 750

/** Loading takes 420 and shows in reports after 650: one that was ordered so long ago makes room when the next has been steered, milliseconds. */
const SOON_DONE_MS = 350

/** With up to this part of the slots taken, hardly any long run is left; short ones end while it is steered. */
const CALM = 0.06

/**
 * An engine of the second half may serve on replaced weights for so long, milliseconds:
 * it loses a fifth of 13 worth a second from 1.5 s on, and a change costs 4.5 and some
 * 2.5 that its runs lose. Where versions come faster, it goes straight to the next one.
 */
const PATIENCE_MS = 3600

/**
 * At an engine with weights replaced that long ago no run is waited for, milliseconds.
 * With versions named in quick succession it would else come last each time, until it
 * may begin nothing more.
 */
const OVERDUE_MS = 4000

/**
 * With weights replaced that long ago engines change as fast as loads allow, however
 * long prompts wait: the last of thirteen, three at once and a second each, is done four
 * seconds later, milliseconds.
 */
const PRESSED_OVERDUE_MS = 2500

/** From this share of engines with the new weights on, the others have time. */
const COVERED = 0.5

/** Prompts that wait no longer on average are read well within any objective, milliseconds. */
const CALM_WAIT_MS = 60

/** When prompts wait so long on average, one engine fewer makes most of them late, milliseconds. */
const PRESSED_WAIT_MS = 200

/** While prompts wait, so many change at once at the least: the bound on replaced weights goes on counting. */
const LEAST_PRESSED = 1

/** How many may be out of service at once. */
function mostAtOnce (engines: readonly RolloutEngine[]): number {
  const most = Math.max(LEAST_AT_ONCE, Math.floor(engines.length * SHARE_AT_ONCE))
  const serving = engines.filter(({ phase }) => phase === RolloutPhase.Serving)
  if (serving.length === 0 || engines.some(({ hasWanted, outdatedMs }) => !hasWanted && outdatedMs >= PRESSED_OVERDUE_MS)) {
    return most
  }
  const wait = serving.reduce((sum, { waitMs }) => sum + waitMs, 0) / serving.length
  const pressure = Math.min(1, Math.max(0, (wait - CALM_WAIT_MS) / (PRESSED_WAIT_MS - CALM_WAIT_MS)))
  return Math.max(LEAST_PRESSED, Math.round(most - pressure * (most - LEAST_PRESSED)))
}

export function planRollout (engines: readonly RolloutEngine[]): RolloutStep {
  const atOnce = mostAtOnce(engines)
  const inPhase = (phase: RolloutPhase): RolloutEngine[] => engines.filter(engine => !engine.hasWanted && engine.phase === phase).sort(compare)
  const steered = inPhase(RolloutPhase.Steered)
  const ordered = engines.filter(({ phase }) => phase === RolloutPhase.Ordered)
  const loadingOn = ordered.filter(({ orderedMs }) => orderedMs < SOON_DONE_MS).length
  const mayWait = isCovered(engines)
  const due = inPhase(RolloutPhase.Serving).filter(engine => !mayWait || isDue(engine))
  return {
    steer: idsOf(due, atOnce - steered.length - loadingOn),
    order: idsOf(steered.filter(engine => isReady(engine, mayWait)), atOnce - ordered.length)
  }
}

/** Those that lack most versions first: one that changed a moment ago would read everything anew twice. Then those with the least work. */
function compare (one: RolloutEngine, other: RolloutEngine): number {
  return other.outdatedMs - one.outdatedMs || one.work - other.work
}

/** Whether an engine need not serve on for the sake of its long runs. */
function isDue (engine: RolloutEngine): boolean {
  return isCalm(engine) || engine.outdatedMs >= PATIENCE_MS
}

function isCalm ({ work, slots }: RolloutEngine): boolean {
  return work <= Math.max(1, slots * CALM)
}

/** Whether what runs there after the steering need not be waited for any longer. */
function isReady (engine: RolloutEngine, mayWait: boolean): boolean {
  const isHurried = !mayWait || isCalm(engine) || engine.outdatedMs >= OVERDUE_MS
  return engine.steeredMs >= (isHurried ? LEAST_STEERED_MS : MOST_STEERED_MS)
}

/** Those that load now count: they serve before one that is steered now could be ordered. */
function isCovered (engines: readonly RolloutEngine[]): boolean {
  return engines.filter(({ hasWanted, phase }) => hasWanted || phase === RolloutPhase.Ordered).length >= engines.length * COVERED
}

function idsOf (engines: readonly RolloutEngine[], most: number): string[] {
  return engines.slice(0, Math.max(0, most)).map(({ id }) => id)
}
