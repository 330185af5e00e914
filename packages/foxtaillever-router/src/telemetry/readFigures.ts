/** Reads the figures that operators see from the metrics. */
import { PriorityClass } from 'foxtaillever-core'
import { createFigures, FIRST_TOKEN_BUCKETS_S, type Figures } from 'foxtaillever-control'
import { MetricName } from './metricTable.js'
import type { Metrics, Sample } from './metrics.js'

type Reader = (name: MetricName) => Promise<readonly Sample[]>

function sum (samples: readonly Sample[]): number {
  return samples.reduce((total, { value }) => total + value, 0)
}

function sumBy (samples: readonly Sample[], label: string): Record<string, number> {
  const sums: Record<string, number> = {}
  for (const { labels, value } of samples) {
    const key = String(labels[label])
    sums[key] = (sums[key] ?? 0) + value
  }
  return sums
}

/** Converts the library's cumulative buckets, summed over all label sets, to counts per bucket. */
function readBuckets (samples: readonly Sample[]): readonly number[] {
  const upTo = sumBy(samples.filter(({ name }) => name.endsWith('_bucket')), 'le')
  const cumulative = FIRST_TOKEN_BUCKETS_S.map(end => upTo[end === Infinity ? '+Inf' : String(end)] ?? 0)
  return cumulative.map((count, index) => count - (cumulative[index - 1] ?? 0))
}

/** @param account of one client account, or of all when undefined. */
export async function readFigures (metrics: Metrics, startedAt: number, now: number, account?: string): Promise<Figures> {
  const read: Reader = async name => {
    const samples = await metrics.samples(name)
    return account === undefined ? samples : samples.filter(({ labels }) => labels['account'] === account)
  }
  const waiting = await metrics.samples(MetricName.Waiting)
  const zero = createFigures(startedAt, now)
  return {
    ...zero,
    served: sum(await read(MetricName.Served)),
    refused: sumBy(await read(MetricName.Refused), 'rule'),
    failed: sumBy(await read(MetricName.Failed), 'verdict'),
    late: sum(await read(MetricName.Late)),
    retried: sum(await read(MetricName.Retried)),
    promptTokens: sum(await read(MetricName.PromptTokens)),
    cachedTokens: sum(await read(MetricName.CachedTokens)),
    recomputedTokens: sum(await read(MetricName.RecomputedTokens)),
    firstToken: readBuckets(await read(MetricName.AccountFirstToken)),
    waiting: { ...zero.waiting, ...sumBy(waiting, 'class') as Record<PriorityClass, number> },
    running: sum(await metrics.samples(MetricName.Running))
  }
}
