/**
 * Which engines change their weights next.
 *
 * A change lets running requests finish and then loads, about half a second in
 * all during which the engine takes nothing new. All at once would leave nobody
 * to serve; one after the other would leave answers on old weights for seconds.
 * The weight store slows down beyond some loads at once, a share of the fleet.
 */

/** An engine as one decision sees it. */
export interface RolloutEngine {
  readonly id: string
  readonly hasWanted: boolean
  /** An order is being carried out, or may be. */
  readonly isChanging: boolean
  /** Requests on their way to it or running there. */
  readonly outstanding: number
}

/** Share of the engines that change at once; above it loads slow down where that was measured: 2 of 6, 12 of 42, 22 of 78. */
const SHARE_AT_ONCE = 0.28

/** Even the smallest fleet changes two, so that it takes half as long. */
const LEAST_AT_ONCE = 2

/** Engines to order now, those with the least work first. */
export function planRollout (engines: readonly RolloutEngine[]): string[] {
  const most = Math.max(LEAST_AT_ONCE, Math.floor(engines.length * SHARE_AT_ONCE))
  const changing = engines.filter(({ isChanging }) => isChanging).length
  return engines
    .filter(({ hasWanted, isChanging }) => !hasWanted && !isChanging)
    .sort((one, other) => one.outstanding - other.outstanding)
    .slice(0, Math.max(0, most - changing))
    .map(({ id }) => id)
}
