/**
 * Compares variants in one interleaved run: each segment of the seeded workload
 * goes to every variant, in turn and in alternating order, each time on fresh
 * stand-ins. Gradual changes in the load of the machine so affect all variants alike.
 */
import { createResults, type Results } from '../results/results.js'
import type { Summary } from '../results/summarize.js'
import type { Answer } from '../workload/answer.js'
import { createRatio, type Ratio } from './ratio.js'
import { runExperiment, type ExperimentOptions } from './runExperiment.js'
import type { Variant } from './variant.js'

/** Metrics whose ratio is reported, with their printed names. */
export enum Metric {
  FirstTokenP50 = 'first token p50',
  FirstTokenP95 = 'first token p95',
  FirstTokenP99 = 'first token p99',
  HitRate = 'prefix hit rate',
  Recomputed = 'recomputed tokens',
  Wasted = 'wasted recomputation',
  Complete = 'answers complete'
}

export const metricValues: Record<Metric, (summary: Summary) => number> = {
  [Metric.FirstTokenP50]: summary => summary.firstTokenP50Ms,
  [Metric.FirstTokenP95]: summary => summary.firstTokenP95Ms,
  [Metric.FirstTokenP99]: summary => summary.firstTokenP99Ms,
  [Metric.HitRate]: summary => summary.prefixHitRate,
  [Metric.Recomputed]: summary => summary.recomputedTokens,
  [Metric.Wasted]: summary => summary.wastedShare,
  [Metric.Complete]: summary => summary.complete
}

export interface ComparisonOptions extends Omit<ExperimentOptions, 'variant' | 'preset' | 'targets'> {
  /** The first variant is the baseline of the others. */
  readonly variants: readonly Variant[]
  readonly segments: number
  readonly onSegment?: (segment: number, results: Results) => void
}

export interface VariantOutcome {
  readonly name: string
  /** Over all segments. */
  readonly results: Results
  readonly segments: readonly Summary[]
  /** Ratios to the first variant; for the first variant all are 1. */
  readonly ratios: Readonly<Record<Metric, Ratio>>
}

export interface Comparison {
  readonly seed: number
  readonly shape: string
  readonly outcomes: readonly VariantOutcome[]
}

interface VariantRuns {
  readonly answers: Answer[]
  readonly runs: Results[]
}

export async function compareVariants (options: ComparisonOptions): Promise<Comparison> {
  const gathered = new Map(options.variants.map(({ name }): [string, VariantRuns] => [name, { answers: [], runs: [] }]))
  for (let segment = 0; segment < options.segments; segment++) {
    const order = segment % 2 === 0 ? options.variants : options.variants.toReversed()
    for (const variant of order) {
      const { results, answers } = await runSegment(options, variant, segment)
      gathered.get(variant.name)?.runs.push(results)
      gathered.get(variant.name)?.answers.push(...answers)
      options.onSegment?.(segment, results)
    }
  }
  const base = gathered.get(options.variants[0]?.name ?? '')?.runs ?? []
  const outcomes = [...gathered].map(([name, { answers, runs }]) => createOutcome(name, answers, runs, base))
  return { seed: options.seed, shape: options.shape.name, outcomes }
}

async function runSegment (options: ComparisonOptions, variant: Variant, segment: number) {
  const { variants, segments, onSegment, ...shared } = options
  return await runExperiment({
    ...shared,
    variant: variant.name,
    preset: variant.preset,
    targets: variant.targets,
    seed: options.seed + segment
  })
}

function createOutcome (name: string, answers: readonly Answer[], runs: readonly Results[], base: readonly Results[]): VariantOutcome {
  const first = runs[0] as Results
  const ratioOf = (metric: Metric): Ratio => createRatio(runs.map((run, index) => ({
    base: metricValues[metric](base[index]?.summary ?? run.summary),
    other: metricValues[metric](run.summary)
  })))
  const ratios = Object.fromEntries(Object.values(Metric).map(metric => [metric, ratioOf(metric)])) as Record<Metric, Ratio>
  return {
    name,
    results: createResults({
      settings: first.settings,
      answers,
      promises: sumPromises(runs),
      loopDelayP99Ms: Math.max(...runs.map(run => run.loopDelayP99Ms))
    }),
    segments: runs.map(run => run.summary),
    ratios
  }
}

function sumPromises (runs: readonly Results[]): Results['promises'] {
  return runs.map(run => run.promises).reduce((sum, check) => sum && check && {
    ranThoughNotRun: sum.ranThoughNotRun + check.ranThoughNotRun,
    doubledExports: sum.doubledExports + check.doubledExports,
    lostExports: sum.lostExports + check.lostExports
  })
}
