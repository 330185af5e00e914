/** Results of one run; the JSON file has exactly these fields. */
import { ArrivalKind } from '../workload/arrival.js'
import type { Answer } from '../workload/answer.js'
import type { Fault } from '../faults/fault.js'
import type { PromiseCheck } from './checkPromises.js'
import { createSeries, type SeriesPoint } from './series.js'
import { createHistogram, percentileMs, summarize, type Summary } from './summarize.js'

export interface RunSettings {
  readonly shape: string
  readonly seed: number
  readonly requestsPerSecond: number
  readonly seconds: number
  readonly faults: readonly Fault[]
  /** Name of the variant, for reports. */
  readonly variant: string
}

export interface CurvePoint {
  readonly percentile: number
  readonly ms: number
}

export interface Results {
  readonly settings: RunSettings
  readonly startedAt: string
  readonly node: string
  readonly summary: Summary
  readonly accounts: Readonly<Record<string, Summary>>
  readonly series: readonly SeriesPoint[]
  readonly firstTokenCurve: readonly CurvePoint[]
  /** Refusals and failures by code and verdict. */
  readonly failures: Readonly<Record<string, number>>
  /** Undefined when this tool has no access to the engines. */
  readonly promises: PromiseCheck | undefined
  /** Delay of this process's event loop, p99; a large delay makes the figures unreliable. */
  readonly loopDelayP99Ms: number
}

/** Percentiles of the plotted curve. */
const CURVE_PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 100]

export interface ResultInput {
  readonly settings: RunSettings
  readonly answers: readonly Answer[]
  readonly promises: PromiseCheck | undefined
  readonly loopDelayP99Ms: number
}

function countFailures (answers: readonly Answer[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const answer of answers.filter(candidate => candidate.state !== 'complete')) {
    const key = `${answer.state} ${answer.code} ${answer.verdict}`.trim()
    counts[key] = (counts[key] ?? 0) + 1
  }
  return counts
}

function summarizeAccounts (answers: readonly Answer[]): Record<string, Summary> {
  const names = [...new Set(answers.map(answer => answer.arrival.account))].sort()
  return Object.fromEntries(names.map(name => [name, summarize(answers.filter(answer => answer.arrival.account === name))]))
}

export function createResults ({ settings, answers, promises, loopDelayP99Ms }: ResultInput): Results {
  const firstToken = createHistogram(answers.filter(answer => answer.arrival.kind === ArrivalKind.Language).map(answer => answer.firstTokenMs))
  return {
    settings,
    startedAt: new Date().toISOString(),
    node: process.version,
    summary: summarize(answers),
    accounts: summarizeAccounts(answers),
    series: createSeries(answers),
    firstTokenCurve: CURVE_PERCENTILES.map(percentile => ({ percentile, ms: percentileMs(firstToken, percentile) })),
    failures: countFailures(answers),
    promises,
    loopDelayP99Ms
  }
}
