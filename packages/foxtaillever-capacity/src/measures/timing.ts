/** Measures the processor time of short operations. */

/** Duration of the measurement, and of the warm-up before it, milliseconds. */
const MEASURE_MS = 300

function repeatUntil (work: () => void, deadline: number): number {
  let runs = 0
  while (performance.now() < deadline) {
    work()
    runs += 1
  }
  return runs
}

/** Measures the processor time of one run, microseconds. */
export function measureMicroseconds (work: () => void): number {
  repeatUntil(work, performance.now() + MEASURE_MS)
  const cpu = process.cpuUsage()
  const runs = repeatUntil(work, performance.now() + MEASURE_MS)
  const used = process.cpuUsage(cpu)
  return (used.user + used.system) / runs
}
