/** Creates a report as one self-contained HTML file: figures, plots, settings. */
import { drawPage, drawPlots, drawTable, type Row } from 'foxtaillever-telemetry/report/htmlPage'
import { drawPlot, escapeText, type Plot, type PlotMark } from 'foxtaillever-telemetry/report/svgPlot'
import { Metric, type Comparison } from '../experiment/compareVariants.js'
import type { Results } from '../results/results.js'
import { formatMetric, formatRatio, percent } from './textTable.js'

/** Maps a percentile to a logarithmic axis that widens the tail: 90 to 99 takes as much space as 99 to 99.9. */
function tailPosition (percentile: number): number {
  return -Math.log10(1 - Math.min(percentile, 99.99) / 100)
}

const CURVE_TICKS: readonly PlotMark[] = [0, 50, 90, 95, 99, 99.9].map(percentile => ({ x: tailPosition(percentile), label: `p${percentile}` }))

function renderPlots (runs: readonly Results[]): string {
  const marks = (runs[0]?.settings.faults ?? []).map(fault => ({
    x: fault.offsetMs / 1000,
    label: `${fault.target} ${Object.entries(fault.changes).map(([name, value]) => `${name}=${value}`).join(' ')}`
  }))
  const overTime = (title: string, yLabel: string, valueOf: (point: Results['series'][number]) => number): Plot => ({
    title,
    xLabel: 'seconds',
    yLabel,
    marks,
    series: runs.map(run => ({ name: run.settings.variant, points: run.series.map(point => ({ x: point.second, y: valueOf(point) })) }))
  })
  const curve: Plot = {
    title: 'Time to first token',
    xLabel: 'percentile',
    yLabel: 'ms',
    xTicks: CURVE_TICKS,
    series: runs.map(run => ({ name: run.settings.variant, points: run.firstTokenCurve.map(point => ({ x: tailPosition(point.percentile), y: point.ms })) }))
  }
  const plots = [
    curve,
    overTime('Time to first token, p95', 'ms', point => point.firstTokenP95Ms),
    overTime('Prefix hit rate', 'share', point => point.prefixHitRate),
    overTime('Complete answers', 'a second', point => point.complete)
  ]
  return drawPlots(plots.map(drawPlot))
}

function renderSettings ({ settings, node, startedAt }: Results): string {
  return drawTable(['setting', 'value'], [
    ['shape', settings.shape], ['seed', String(settings.seed)], ['requests a second', String(settings.requestsPerSecond)],
    ['seconds', String(settings.seconds)], ['node', node], ['made at', startedAt]
  ])
}

function renderAccounts (results: Results): string {
  return drawTable(
    ['client account', 'requests', 'complete', 'refused', 'broken', 'first token p50', 'p95', 'p99', 'prefix hit rate'],
    Object.entries(results.accounts).map(([name, summary]) => [
      name, String(summary.requests), String(summary.complete), String(summary.refused), String(summary.broken),
      `${summary.firstTokenP50Ms} ms`, `${summary.firstTokenP95Ms} ms`, `${summary.firstTokenP99Ms} ms`, percent(summary.prefixHitRate)
    ]))
}

function renderWarnings (results: Results): string {
  const { promises, summary } = results
  const broken = promises ? promises.ranThoughNotRun + promises.doubledExports + promises.lostExports : 0
  const lines = [
    ...(summary.broken > 0 ? [`${summary.broken} answers were failed, cut or wrong.`] : []),
    ...(broken > 0 ? [`${broken} promises were broken: ${JSON.stringify(promises)}.`] : [])
  ]
  return lines.map(line => `<p class="bad">${escapeText(line)}</p>`).join('')
}

function renderFigures (results: Results): string {
  const { summary } = results
  return drawTable(['figure', 'value'], [
    ['requests', String(summary.requests)],
    ['complete, refused, broken', `${summary.complete}, ${summary.refused}, ${summary.broken}`],
    ['time to first token', `p50 ${summary.firstTokenP50Ms} ms, p95 ${summary.firstTokenP95Ms} ms, p99 ${summary.firstTokenP99Ms} ms`],
    ['between tokens', `p95 ${summary.betweenTokensP95Ms} ms`],
    ['plain service', `p99 ${summary.plainP99Ms} ms`],
    ['prefix hit rate', percent(summary.prefixHitRate)],
    ['wasted recomputation', percent(summary.wastedShare)],
    ['requests left late', `p99 ${summary.lateP99Ms} ms`],
    ['event loop delay', `p99 ${results.loopDelayP99Ms.toFixed(1)} ms`],
    ...Object.entries(results.failures).map(([name, count]): Row => [name, String(count)])
  ])
}

export function createRunReport (results: Results): string {
  return drawPage(`foxtaillever-load: ${results.settings.variant} on ${results.settings.shape}`, [
    renderWarnings(results), renderFigures(results), renderPlots([results]),
    '<h2>Client accounts</h2>', renderAccounts(results), '<h2>Settings</h2>', renderSettings(results)
  ])
}

export function createComparisonReport (comparison: Comparison): string {
  const { outcomes } = comparison
  const rows = Object.values(Metric).map((metric): Row => [
    metric,
    ...outcomes.map((outcome, index) => formatMetric(metric, outcome) + (index === 0 ? '' : `, ${formatRatio(outcome.ratios[metric])}`))
  ])
  const first = outcomes[0]?.results
  return drawPage(`foxtaillever-load: ${outcomes.map(outcome => outcome.name).join(' against ')} on ${comparison.shape}`, [
    ...outcomes.map(outcome => renderWarnings(outcome.results)),
    `<p>Ratios are to ${escapeText(outcomes[0]?.name ?? '')}: geometric mean over the segments, in brackets the smallest and the largest.</p>`,
    drawTable(['figure', ...outcomes.map(outcome => outcome.name)], rows),
    renderPlots(outcomes.map(outcome => outcome.results)),
    ...outcomes.map(outcome => `<h2>Client accounts: ${escapeText(outcome.name)}</h2>${renderAccounts(outcome.results)}`),
    '<h2>Settings</h2>', first ? renderSettings(first) : ''
  ])
}
