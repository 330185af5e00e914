/** Computes quantiles of latencies. */
import { build } from 'hdr-histogram-js'

export interface Quantiles {
  readonly p50: number
  readonly p99: number
  readonly max: number
  readonly count: number
}

/** @param values milliseconds. */
export function computeQuantiles (values: readonly number[]): Quantiles {
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 })
  values.forEach(value => histogram.recordValue(Math.max(0, Math.round(value))))
  return { p50: histogram.getValueAtPercentile(50), p99: histogram.getValueAtPercentile(99), max: histogram.maxValue, count: values.length }
}

export function formatQuantiles ({ p50, p99, max }: Quantiles): string {
  return `${p50} / ${p99} / ${max}`
}
