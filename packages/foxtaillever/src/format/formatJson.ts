/** Sorts the keys of objects at all depths, so that two outputs can be compared line by line. */
export function sortKeys (value: unknown): unknown {
  if (Array.isArray(value)) {
    return value.map(sortKeys)
  }
  if (typeof value !== 'object' || value === null) {
    return value
  }
  const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1)
  return Object.fromEntries(entries.map(([key, part]) => [key, sortKeys(part)]))
}

export function formatJson (value: unknown): string {
  return `${JSON.stringify(sortKeys(value), null, 2)}\n`
}
