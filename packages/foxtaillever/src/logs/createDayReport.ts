/** Creates the report of a day as one HTML file: load, response times, refusals and state changes ("beliefs" in the report). */
import { drawPage, drawPlots, drawTable } from 'foxtaillever-telemetry/report/htmlPage'
import { drawPlot, escapeText, type PlotPoint, type PlotSeries } from 'foxtaillever-telemetry/report/svgPlot'
import { RequestEnd, type StateChange, type DayCounts, type SecondCounts } from './dayCounts.js'

/** State changes marked in the plots; more would hide the lines. */
const MAX_MARKS = 12

/** Rows of the table of state changes; the `timeline` command lists the rest of a day that has more. */
const MAX_STATE_CHANGE_ROWS = 500

const X_LABEL = 'seconds'

function quantile (times: readonly number[], fraction: number): number {
  const sorted = [...times].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0
}

/** Creates one point for each second, from the first to the last with a count. */
function createPoints (counts: DayCounts, valueOf: (second: SecondCounts | undefined) => number): PlotPoint[] {
  const last = Math.max(0, ...counts.seconds.keys())
  return Array.from({ length: last + 1 }, (_, second) => ({ x: second, y: valueOf(counts.seconds.get(second)) }))
}

function createEndSeries (counts: DayCounts, ends: readonly RequestEnd[]): PlotSeries[] {
  return ends.map(end => ({ name: end, points: createPoints(counts, second => second?.ends[end] ?? 0) }))
}

function createDurationSeries (counts: DayCounts): PlotSeries[] {
  return [['p50', 0.5], ['p95', 0.95]].map(([name, fraction]) => ({ name: String(name), points: createPoints(counts, second => quantile(second?.times ?? [], Number(fraction))) }))
}

function createFailedAttemptSeries (counts: DayCounts): PlotSeries[] {
  const kinds = new Set([...counts.seconds.values()].flatMap(({ failedAttempts }) => [...failedAttempts.keys()]))
  return [...kinds].map(kind => ({ name: kind, points: createPoints(counts, second => second?.failedAttempts.get(kind) ?? 0) }))
}

/** Selects the state changes that most instances logged in the same second: they concern the fleet rather than one instance. */
function selectMarks (stateChanges: readonly StateChange[]): Array<{ readonly x: number, readonly label: string }> {
  return [...stateChanges]
    .sort((a, b) => b.instanceCount - a.instanceCount)
    .slice(0, MAX_MARKS)
    .map(({ second, text }) => ({ x: second, label: text.slice(0, 40) }))
}

function countEnds (counts: DayCounts): Array<readonly [string, string]> {
  return Object.values(RequestEnd).map(end => [end, String([...counts.seconds.values()].reduce((sum, { ends }) => sum + ends[end], 0))])
}

export function createDayReport (counts: DayCounts, files: readonly string[], malformed: number): string {
  const stateChanges = counts.listStateChanges()
  const marks = selectMarks(stateChanges)
  const plots = [
    { title: 'Requests', yLabel: 'ended a second', series: createEndSeries(counts, [RequestEnd.Answered, RequestEnd.CallerGone]) },
    { title: 'Not served', yLabel: 'a second', series: createEndSeries(counts, [RequestEnd.Failed, RequestEnd.Refused]) },
    { title: 'Time to the whole answer', yLabel: 'ms', series: createDurationSeries(counts) },
    { title: 'Failed tries at backend servers', yLabel: 'a second', series: createFailedAttemptSeries(counts) }
  ].map(plot => drawPlot({ ...plot, xLabel: X_LABEL, marks }))
  return drawPage('foxtaillever: a day from its logs', [
    malformed > 0 ? `<p class="bad">${malformed} lines could not be read.</p>` : '',
    `<p>${files.length} log files, from ${escapeText(new Date(counts.startedAt).toISOString())}. Counts are whole; times are those of the lines that were written, up to ten a second and instance.</p>`,
    drawTable(['requests', 'count'], countEnds(counts)),
    drawTable(['not served because of', 'count'], [...counts.reasons].sort((a, b) => b[1] - a[1]).map(([reason, count]) => [reason, String(count)])),
    drawPlots(plots),
    '<h2>Beliefs</h2>',
    drawTable(['second', 'belief', 'instances'], stateChanges.slice(0, MAX_STATE_CHANGE_ROWS).map(({ second, text, instanceCount }) => [String(second), text, String(instanceCount)]))
  ])
}
