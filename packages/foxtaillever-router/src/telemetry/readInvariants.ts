/** Counts of the invariants, as metrics. Every invariant has both lines from the start, so that none is missing. */
import type { Invariants } from '../core/invariants.js'
import { MetricName } from './metricTable.js'
import type { MetricReader } from './metrics.js'

export function readInvariants (invariants: Invariants): ReturnType<MetricReader> {
  return Object.entries(invariants.report()).flatMap(([invariant, { checked, violated }]) => [
    { name: MetricName.InvariantChecks, labels: { invariant }, value: checked },
    { name: MetricName.InvariantViolations, labels: { invariant }, value: violated }
  ])
}
