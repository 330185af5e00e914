/**
 * The engines that take the runs with a long output.
 *
 * What a run makes after a change of weights is worth nothing, and waiting for
 * its end keeps an engine out of service for seconds. Spread over the fleet,
 * long runs hinder the change of every engine; gathered on few, only of those,
 * and these change last. Their prompts are short, so no shared level decides
 * where they run. The first engines with the newest weights gather them, because
 * these will be the last to be replaced by newer ones.
 */

export interface GatheringEngine {
  readonly id: string
  readonly hash: number
  readonly isOutdated: boolean
  /** It gets no new work for the moment, or too many faults of late. */
  readonly isOut: boolean
  /** Rises with each change of weights that was learned. */
  readonly weightsOrder: number
  readonly slots: number
  readonly outstanding: number
}

/** Runs whose output may be longer than this hinder a change: 400 tokens take some 3 s. */
const LONG_OUTPUT_TOKENS = 400

/** Part of the slots that all requests of the fleet may fill on the engines that gather. */
const FILLED = 0.6

export function isLongRun (outputTokens: number): boolean {
  return outputTokens > LONG_OUTPUT_TOKENS
}

/** As many engines as hold the load, all of them in a full fleet. */
export function gatherLongRuns (engines: readonly GatheringEngine[]): ReadonlySet<string> {
  const fit = engines.filter(({ isOut }) => !isOut)
  const outstanding = engines.reduce((sum, engine) => sum + engine.outstanding, 0)
  const slots = fit.reduce((sum, engine) => sum + engine.slots, 0) / Math.max(1, fit.length)
  const count = Math.max(1, Math.ceil(outstanding / Math.max(1, slots * FILLED)))
  const first = [...fit].sort((one, other) =>
    Number(one.isOutdated) - Number(other.isOutdated) || one.weightsOrder - other.weightsOrder || one.hash - other.hash)
  return new Set(first.slice(0, count).map(({ id }) => id))
}
