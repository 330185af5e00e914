/** Counts of the invariants, as metrics; each has both lines from the start, so that none is missing. */
import type { Invariants } from '../core/invariants.js'
import { MetricName } from './metricTable.js'
import type { Reading } from './metrics.js'

export function readInvariants (invariants: Invariants): ReturnType<Reading> {
  return Object.entries(invariants.report()).flatMap(([invariant, { checked, violated }]) => [
    { name: MetricName.InvariantChecks, labels: { invariant }, value: checked },
    { name: MetricName.InvariantViolations, labels: { invariant }, value: violated }
  ])
}
