/** One measured figure with its target, if it has one. */

export interface Figure {
  readonly name: string
  readonly value: number
  readonly unit: string
  /** Smallest and largest over the segments, where there are several. */
  readonly spread?: readonly [number, number]
  /** The value may not be larger. */
  readonly target?: number
}

export function isMet (figure: Figure): boolean | undefined {
  return figure.target === undefined ? undefined : figure.value <= figure.target
}

function verdictOf (figure: Figure): string {
  const met = isMet(figure)
  return met === undefined ? '' : `${met ? 'met' : 'MISSED'} (target at most ${figure.target})`
}

function round (value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(3)
}

export function formatFigure (figure: Figure): string {
  const spread = figure.spread ? ` (${round(figure.spread[0])} to ${round(figure.spread[1])})` : ''
  return `${figure.name.padEnd(58)} ${`${round(figure.value)} ${figure.unit}${spread}`.padEnd(34)} ${verdictOf(figure)}`.trimEnd()
}

/** Creates the figure of several segments: their median, with the spread. */
export function createFigure (name: string, values: readonly number[], unit: string, target?: number): Figure {
  const sorted = values.toSorted((a, b) => a - b)
  const value = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN
  const spread = sorted.length > 1 ? { spread: [sorted[0] ?? value, sorted.at(-1) ?? value] as const } : {}
  return { name, value, unit, ...spread, ...(target === undefined ? {} : { target }) }
}
