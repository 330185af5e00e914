/** Fits a straight line to measured points by least squares. */
export interface MeasuredPoint {
  readonly size: number
  readonly value: number
}

export interface Line {
  readonly base: number
  readonly perUnit: number
}

export function fitLine (points: readonly MeasuredPoint[]): Line {
  const count = points.length
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count
  const spread = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0)
  const common = points.reduce((sum, { size, value }) => sum + (size - meanSize) * (value - meanValue), 0)
  const perUnit = spread === 0 ? 0 : common / spread
  return { base: meanValue - perUnit * meanSize, perUnit }
}

export function evaluateLine ({ base, perUnit }: Line, size: number): number {
  return base + perUnit * size
}
