/** Computes the ratio of two variants over pairs of segments, with its spread. */

export interface Ratio {
  /** Geometric mean over the pairs. */
  readonly mean: number
  readonly smallest: number
  readonly largest: number
  /** Pairs in which both sides had a figure above zero. */
  readonly pairs: number
}

export interface Pair {
  readonly base: number
  readonly other: number
}

export function createRatio (pairs: readonly Pair[]): Ratio {
  const logs = pairs
    .filter(pair => pair.base > 0 && pair.other > 0)
    .map(pair => Math.log(pair.other / pair.base))
  if (logs.length === 0) {
    return { mean: Number.NaN, smallest: Number.NaN, largest: Number.NaN, pairs: 0 }
  }
  return {
    mean: Math.exp(logs.reduce((sum, log) => sum + log, 0) / logs.length),
    smallest: Math.exp(Math.min(...logs)),
    largest: Math.exp(Math.max(...logs)),
    pairs: logs.length
  }
}
