/** Draws line plots as inline SVG without a library: axes, gridlines, one line per series, marks for faults. */

export interface PlotPoint {
  readonly x: number
  readonly y: number
}

export interface PlotSeries {
  readonly name: string
  readonly points: readonly PlotPoint[]
}

export interface PlotMark {
  readonly x: number
  readonly label: string
}

export interface Plot {
  readonly title: string
  readonly xLabel: string
  readonly yLabel: string
  readonly series: readonly PlotSeries[]
  readonly marks?: readonly PlotMark[]
  /** Labels of the ticks on the x axis; evenly spaced numbers when not given. */
  readonly xTicks?: readonly PlotMark[]
}

const WIDTH = 640
const HEIGHT = 280
const LEFT = 64
const RIGHT = 16
const TOP = 32
const BOTTOM = 44
const Y_TICKS = 5
const X_TICKS = 10

/** Colours that colour-blind readers can tell apart. */
const COLOURS = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#e69f00', '#56b4e9', '#000000']

export function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

interface Scale {
  readonly x: (value: number) => number
  readonly y: (value: number) => number
  readonly xMax: number
  readonly yMax: number
}

/** Rounds up to 1, 2 or 5 times a power of ten, so that ticks are round numbers. */
function roundUp (value: number): number {
  const power = 10 ** Math.floor(Math.log10(value))
  const step = [1, 2, 5, 10].find(candidate => candidate * power >= value) ?? 10
  return step * power
}

function createScale (plot: Plot): Scale {
  const points = plot.series.flatMap(series => series.points)
  const xMax = Math.max(1, ...points.map(point => point.x))
  const yMax = roundUp(Math.max(1e-9, ...points.map(point => point.y)))
  return {
    xMax,
    yMax,
    x: value => LEFT + value / xMax * (WIDTH - LEFT - RIGHT),
    y: value => HEIGHT - BOTTOM - value / yMax * (HEIGHT - TOP - BOTTOM)
  }
}

function drawText (x: number, y: number, anchor: string, text: string): string {
  return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="${anchor}">${escapeText(text)}</text>`
}

function drawGrid (scale: Scale): string {
  return Array.from({ length: Y_TICKS + 1 }, (_, index) => {
    const value = scale.yMax * index / Y_TICKS
    const y = scale.y(value)
    return `<line x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}" stroke="#ddd"/>${drawText(LEFT - 6, y + 4, 'end', String(Number(value.toPrecision(3))))}`
  }).join('')
}

function drawXTicks (plot: Plot, scale: Scale): string {
  const even = Array.from({ length: X_TICKS + 1 }, (_, index) => {
    const x = scale.xMax * index / X_TICKS
    return { x, label: String(Number(x.toPrecision(3))) }
  })
  return (plot.xTicks ?? even).map(tick => drawText(scale.x(tick.x), HEIGHT - BOTTOM + 16, 'middle', tick.label)).join('')
}

function drawMarks (plot: Plot, scale: Scale): string {
  return (plot.marks ?? []).map(mark =>
    `<line x1="${scale.x(mark.x)}" x2="${scale.x(mark.x)}" y1="${TOP}" y2="${HEIGHT - BOTTOM}" stroke="#999" stroke-dasharray="4 3"><title>${escapeText(mark.label)}</title></line>` +
    drawText(scale.x(mark.x) + 3, TOP + 10, 'start', mark.label)).join('')
}

function drawSeries (series: PlotSeries, index: number, scale: Scale): string {
  const colour = COLOURS[index % COLOURS.length] ?? '#000'
  const points = series.points.map(point => `${scale.x(point.x).toFixed(1)},${scale.y(point.y).toFixed(1)}`).join(' ')
  const legendX = LEFT + 8 + index * 130
  return `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${points}"/>` +
    `<rect x="${legendX}" y="${HEIGHT - 16}" width="10" height="10" fill="${colour}"/>${drawText(legendX + 14, HEIGHT - 7, 'start', series.name)}`
}

export function drawPlot (plot: Plot): string {
  const scale = createScale(plot)
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeText(plot.title)}">` +
    drawText(LEFT, 18, 'start', `${plot.title} (${plot.yLabel} over ${plot.xLabel})`) +
    drawGrid(scale) + drawXTicks(plot, scale) + drawMarks(plot, scale) +
    plot.series.map((series, index) => drawSeries(series, index, scale)).join('') + '</svg>'
}
