/** Limits on callers that this tool configures for its entry instances. */
import type { InstanceLimits } from 'foxtaillever-router'

export const instanceLimits: InstanceLimits = {
  bodyBytes: 8 * 1024 * 1024,
  headerBytes: 16_384,
  arrivalTimeoutMs: 30_000,
  idleTimeoutMs: 75_000,
  drainTimeoutMs: 10_000
}
