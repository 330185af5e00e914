/**
 * What the metrics say of the configuration and the other instances.
 */
import type { Fleet } from 'foxtaillever-fleet'
import { MetricName } from './metricTable.js'
import type { Reading } from './metrics.js'

export function readFleet (fleet: Fleet, now: number): ReturnType<Reading> {
  const { configuration, offset } = fleet.store.current()
  const lastReadAt = fleet.logReader().lastReadAt()
  // Before its first answer the log has no age; the revision 0 tells.
  const ageMs = lastReadAt === 0 ? 0 : now - lastReadAt
  return [
    { name: MetricName.Revision, value: configuration.revision },
    { name: MetricName.FoldOffset, value: offset },
    { name: MetricName.FoldAge, value: ageMs / 1000 },
    { name: MetricName.Members, value: fleet.members().length }
  ]
}
