/**
 * The metrics of one instance. They are its only counters: the figures that
 * operators see on the command line are read from them too.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client'
import { HISTOGRAM_BUCKETS_S, MetricKind, MetricName, metricTable, type MetricRow } from './metricTable.js'

export type Labels = Readonly<Record<string, string>>

type AnyMetric = Counter | Gauge | Histogram

/** One value of a metric with its labels. */
export interface Sample {
  /** The metric's name, possibly with the suffix `_bucket`, `_sum` or `_count`. */
  readonly name: string
  readonly labels: Readonly<Record<string, string | number | undefined>>
  readonly value: number
}

type MetricFactory = (name: MetricName, row: MetricRow, registers: Registry[]) => AnyMetric

const metricFactories: Record<MetricKind, MetricFactory> = {
  [MetricKind.Counter]: (name, { help, labels }, registers) => new Counter({ name, help, labelNames: [...labels], registers }),
  [MetricKind.Gauge]: (name, { help, labels }, registers) => new Gauge({ name, help, labelNames: [...labels], registers }),
  [MetricKind.Histogram]: (name, { help, labels }, registers) => new Histogram({ name, help, labelNames: [...labels], buckets: [...HISTOGRAM_BUCKETS_S], registers })
}

/** Returns current values when the metrics are read. */
export type MetricReader = () => ReadonlyArray<{ readonly name: MetricName, readonly labels?: Labels, readonly value: number }>

export class Metrics {
  private readonly registry = new Registry()
  private readonly metrics: Readonly<Record<MetricName, AnyMetric>>
  private readers: MetricReader[] = []

  private constructor () {
    const entries = Object.values(MetricName).map(name => [name, metricFactories[metricTable[name].kind](name, metricTable[name], [this.registry])] as const)
    this.metrics = Object.fromEntries(entries) as Record<MetricName, AnyMetric>
  }

  static create (): Metrics {
    return new Metrics()
  }

  /** Adds the library's metrics of the process; not in tests, where many instances share one. */
  addProcessMetrics (): void {
    collectDefaultMetrics({ register: this.registry })
  }

  /** Adds to a counter. */
  count (name: MetricName, labels: Labels, amount = 1): void {
    (this.metrics[name] as Counter).inc(labels, amount)
  }

  /** Adds a value, in the unit of the metric's name, to a histogram. */
  observe (name: MetricName, labels: Labels, value: number): void {
    (this.metrics[name] as Histogram).observe(labels, value)
  }

  /** Calls the reader for current values whenever the metrics are read. */
  onRead (reader: MetricReader): void {
    this.readers.push(reader)
  }

  private refresh (): void {
    const read = this.readers.flatMap(reader => reader())
    // All counters are reset first, since one counter may have several values, one per label.
    new Set(read.map(({ name }) => this.metrics[name])).forEach(metric => metric instanceof Counter && metric.reset())
    for (const { name, labels = {}, value } of read) {
      const metric = this.metrics[name]
      if (metric instanceof Counter) {
        metric.inc(labels, value)
      } else {
        (metric as Gauge).set(labels, value)
      }
    }
  }

  /** The text that a metrics store reads. */
  async text (): Promise<string> {
    this.refresh()
    return await this.registry.metrics()
  }

  contentType (): string {
    return this.registry.contentType
  }

  async samples (name: MetricName): Promise<readonly Sample[]> {
    this.refresh()
    const { values } = await this.metrics[name].get()
    return values.map(value => ({ name: (value as { metricName?: string }).metricName ?? name, labels: value.labels, value: value.value }))
  }
}
