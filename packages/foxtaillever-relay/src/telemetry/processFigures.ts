/** Figures of this process for metrics and for the log lines of a shutdown. */
import { getHeapStatistics } from 'node:v8'
import { Holding, type ProcessBudget, type ProcessLimits } from 'foxtaillever-policy/relay/processBudget'
import type { Metrics, Subject } from 'foxtaillever-telemetry'

const BYTES_PER_KILOBYTE = 1024

/** @param largestDelayMs by how much the event loop was late at most. */
export function describeProcess (largestDelayMs: number): Subject {
  return {
    largestDelayMs: Math.round(largestDelayMs),
    residentBytes: process.memoryUsage.rss(),
    peakResidentBytes: process.resourceUsage().maxRSS * BYTES_PER_KILOBYTE
  }
}

/** Memory beside the heap where the settings do not limit the memory, bytes. */
const DEFAULT_NATIVE_BYTES = 256 * 1024 * 1024

/** @param memoryBytes limit of the memory by the settings; undefined for none. */
export function processLimitsOf ({ memoryBytes }: { readonly memoryBytes?: number | undefined }): ProcessLimits {
  const heapBytes = getHeapStatistics().heap_size_limit
  return { heapBytes, memoryBytes: memoryBytes ?? heapBytes + DEFAULT_NATIVE_BYTES }
}

/** The most that callers made the process hold at the same time, bytes. */
export function describePeaks (budget: ProcessBudget): Subject {
  return { peakHeldBytes: Object.values(Holding).map(holding => `${holding} ${budget.peakBytes(holding)}`).join(', ') }
}

/** Gauges that tell a full heap from full buffers, and what fills them. */
export function registerMemoryGauges (metrics: Metrics, budget: ProcessBudget): void {
  metrics.gauge('heap_used_bytes', () => process.memoryUsage().heapUsed)
  metrics.gauge('heap_limit_bytes', () => getHeapStatistics().heap_size_limit)
  metrics.gauge('buffer_bytes', () => process.memoryUsage().arrayBuffers)
  Object.values(Holding).forEach(holding => metrics.gauge(`held_${holding}_bytes`, () => budget.heldBytes(holding)))
}
