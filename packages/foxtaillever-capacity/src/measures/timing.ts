/**
 * Processor time of short pieces of work.
 */

/** Repeated until it has taken this long, milliseconds, after as much for warming up. */
const SPAN_MS = 300

function repeat (work: () => void, deadline: number): number {
  let runs = 0
  while (performance.now() < deadline) {
    work()
    runs += 1
  }
  return runs
}

/** Processor time of one run, microseconds. */
export function microsecondsOf (work: () => void): number {
  repeat(work, performance.now() + SPAN_MS)
  const cpu = process.cpuUsage()
  const runs = repeat(work, performance.now() + SPAN_MS)
  const used = process.cpuUsage(cpu)
  return (used.user + used.system) / runs
}
