/** Formats single values of tables and sentences. */

export function formatInstant (instant: number): string {
  return new Date(instant).toISOString()
}

export function formatShare (share: number | undefined): string {
  return share === undefined ? '-' : `${(share * 100).toFixed(1)} %`
}

/** Formats the upper bound of a histogram bucket, in seconds. */
export function formatSeconds (seconds: number | undefined): string {
  if (seconds === undefined) {
    return '-'
  }
  return seconds === Infinity ? '> 10 s' : `<= ${seconds} s`
}

export function formatCounts (counts: Readonly<Record<string, number>>): string {
  const shown = Object.entries(counts).filter(([, count]) => count > 0).sort(([a], [b]) => a < b ? -1 : 1)
  return shown.length === 0 ? '-' : shown.map(([name, count]) => `${name} ${count}`).join(', ')
}
