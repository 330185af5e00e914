/** Figures of this process for the log lines of a shutdown. */
import type { Subject } from 'foxtaillever-telemetry'

const BYTES_PER_KILOBYTE = 1024

/** @param largestDelayMs by how much the event loop was late at most. */
export function describeProcess (largestDelayMs: number): Subject {
  return {
    largestDelayMs: Math.round(largestDelayMs),
    residentBytes: process.memoryUsage.rss(),
    peakResidentBytes: process.resourceUsage().maxRSS * BYTES_PER_KILOBYTE
  }
}
