/** The report of a day as one HTML file: load, waiting, refusals and beliefs. */
import { drawPage, drawPlots, drawTable } from 'foxtaillever-telemetry/report/htmlPage'
import { drawPlot, escapeText, type PlotPoint, type PlotSeries } from 'foxtaillever-telemetry/report/svgPlot'
import { RequestEnd, type Belief, type DayCounts, type Second } from './dayCounts.js'

/** Beliefs that are marked in the plots; more would hide the lines. */
const MOST_MARKS = 12

/** Rows of the table of beliefs; a day with more is looked up with `timeline`. */
const MOST_BELIEFS = 500

const X_LABEL = 'seconds'

function quantile (times: readonly number[], part: number): number {
  const sorted = [...times].sort((one, other) => one - other)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0
}

/** One point for each second, from the first to the last that is known. */
function pointsOf (counts: DayCounts, valueOf: (second: Second | undefined) => number): PlotPoint[] {
  const last = Math.max(0, ...counts.seconds.keys())
  return Array.from({ length: last + 1 }, (_, second) => ({ x: second, y: valueOf(counts.seconds.get(second)) }))
}

function endSeries (counts: DayCounts, ends: readonly RequestEnd[]): PlotSeries[] {
  return ends.map(end => ({ name: end, points: pointsOf(counts, second => second?.ends[end] ?? 0) }))
}

function waitSeries (counts: DayCounts): PlotSeries[] {
  return [['p50', 0.5], ['p95', 0.95]].map(([name, part]) => ({ name: String(name), points: pointsOf(counts, second => quantile(second?.times ?? [], Number(part))) }))
}

function failedTrySeries (counts: DayCounts): PlotSeries[] {
  const kinds = new Set([...counts.seconds.values()].flatMap(({ failedTries }) => [...failedTries.keys()]))
  return [...kinds].map(kind => ({ name: kind, points: pointsOf(counts, second => second?.failedTries.get(kind) ?? 0) }))
}

/** Beliefs that changed at most instances at once: what concerned the fleet, not one of them. */
function marksOf (beliefs: readonly Belief[]): Array<{ readonly x: number, readonly label: string }> {
  return [...beliefs]
    .sort((one, other) => other.instances - one.instances)
    .slice(0, MOST_MARKS)
    .map(({ second, text }) => ({ x: second, label: text.slice(0, 40) }))
}

function sumEnds (counts: DayCounts): Array<readonly [string, string]> {
  return Object.values(RequestEnd).map(end => [end, String([...counts.seconds.values()].reduce((sum, { ends }) => sum + ends[end], 0))])
}

export function createDayReport (counts: DayCounts, files: readonly string[], malformed: number): string {
  const beliefs = counts.allBeliefs()
  const marks = marksOf(beliefs)
  const plots = [
    { title: 'Requests', yLabel: 'ended a second', series: endSeries(counts, [RequestEnd.Answered, RequestEnd.CallerGone]) },
    { title: 'Not served', yLabel: 'a second', series: endSeries(counts, [RequestEnd.Failed, RequestEnd.Refused]) },
    { title: 'Time to the whole answer', yLabel: 'ms', series: waitSeries(counts) },
    { title: 'Failed tries at backend servers', yLabel: 'a second', series: failedTrySeries(counts) }
  ].map(plot => drawPlot({ ...plot, xLabel: X_LABEL, marks }))
  return drawPage('foxtaillever: a day from its logs', [
    malformed > 0 ? `<p class="bad">${malformed} lines could not be read.</p>` : '',
    `<p>${files.length} log files, from ${escapeText(new Date(counts.startedAt).toISOString())}. Counts are whole; times are those of the lines that were written, up to ten a second and instance.</p>`,
    drawTable(['requests', 'count'], sumEnds(counts)),
    drawTable(['not served because of', 'count'], [...counts.reasons].sort((one, other) => other[1] - one[1]).map(([reason, count]) => [reason, String(count)])),
    drawPlots(plots),
    '<h2>Beliefs</h2>',
    drawTable(['second', 'belief', 'instances'], beliefs.slice(0, MOST_BELIEFS).map(({ second, text, instances }) => [String(second), text, String(instances)]))
  ])
}
