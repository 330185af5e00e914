/** Summarizes answers for each second of the run, by intended start. */
import { AnswerState, type Answer } from '../workload/answer.js'
import { summarize } from './summarize.js'

export interface SeriesPoint {
  /** Seconds after the start of the run. */
  readonly second: number
  readonly arrivals: number
  readonly complete: number
  readonly refused: number
  readonly firstTokenP50Ms: number
  readonly firstTokenP95Ms: number
  readonly prefixHitRate: number
}

export function createSeries (answers: readonly Answer[]): SeriesPoint[] {
  const last = Math.max(0, ...answers.map(answer => Math.floor(answer.arrival.offsetMs / 1000)))
  return Array.from({ length: last + 1 }, (_, second) => {
    const within = answers.filter(answer => Math.floor(answer.arrival.offsetMs / 1000) === second)
    const { firstTokenP50Ms, firstTokenP95Ms, prefixHitRate, refused } = summarize(within)
    const complete = within.filter(answer => answer.state === AnswerState.Complete).length
    return { second, arrivals: within.length, complete, refused, firstTokenP50Ms, firstTokenP95Ms, prefixHitRate }
  })
}
