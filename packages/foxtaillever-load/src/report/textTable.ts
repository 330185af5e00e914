/** Formats results as text tables for a terminal. */
import { Metric, metricValues, type Comparison, type VariantOutcome } from '../experiment/compareVariants.js'
import type { Ratio } from '../experiment/ratio.js'
import type { Results } from '../results/results.js'

type Row = readonly string[]

/** Pads the cells of each column to its widest cell. */
function alignColumns (rows: readonly Row[]): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd() + '\n').join('')
}

export function percent (share: number): string {
  return `${(share * 100).toFixed(1)} %`
}

export function formatResults ({ summary, failures, promises, loopDelayP99Ms }: Results): string {
  const rows: Row[] = [
    ['requests', String(summary.requests)],
    ['answers complete', `${summary.complete} (${summary.refused} refused, ${summary.broken} broken)`],
    ['time to first token', `p50 ${summary.firstTokenP50Ms} ms, p95 ${summary.firstTokenP95Ms} ms, p99 ${summary.firstTokenP99Ms} ms`],
    ['between tokens', `p95 ${summary.betweenTokensP95Ms} ms`],
    ['plain service', `p99 ${summary.plainP99Ms} ms`],
    ['prefix hit rate', percent(summary.prefixHitRate)],
    ['recomputed prompt tokens', `${summary.recomputedTokens}, wasted ${percent(summary.wastedShare)} of all prompt tokens`],
    ['load tool itself', `requests left late p99 ${summary.lateP99Ms} ms, event loop delay p99 ${loopDelayP99Ms.toFixed(1)} ms`],
    ...Object.entries(failures).map(([name, count]): Row => [name, String(count)])
  ]
  if (promises) {
    rows.push(['promises broken', `${promises.ranThoughNotRun} ran though "not run", ${promises.doubledExports} exports doubled, ${promises.lostExports} lost`])
  }
  return alignColumns(rows)
}

const formats: Record<Metric, (value: number) => string> = {
  [Metric.FirstTokenP50]: value => `${value} ms`,
  [Metric.FirstTokenP95]: value => `${value} ms`,
  [Metric.FirstTokenP99]: value => `${value} ms`,
  [Metric.HitRate]: percent,
  [Metric.Recomputed]: String,
  [Metric.Wasted]: percent,
  [Metric.Complete]: String
}

export function formatMetric (metric: Metric, outcome: VariantOutcome): string {
  return formats[metric](metricValues[metric](outcome.results.summary))
}

export function formatRatio (ratio: Ratio): string {
  return ratio.pairs === 0 ? 'no figure' : `x${ratio.mean.toFixed(2)} (${ratio.smallest.toFixed(2)}-${ratio.largest.toFixed(2)})`
}

/** One row per metric, one column per variant; ratios to the first variant, with the spread over segments. */
export function formatComparison ({ outcomes }: Comparison): string {
  const metrics = Object.values(Metric)
  return alignColumns([
    ['', ...outcomes.map(outcome => outcome.name)],
    ...metrics.map(metric => [metric, ...outcomes.map((outcome, index) =>
      index === 0 ? formatMetric(metric, outcome) : `${formatMetric(metric, outcome)} ${formatRatio(outcome.ratios[metric])}`)])
  ])
}
