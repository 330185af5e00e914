/** Indexes of entries whose key an earlier entry has. */
export function findRepeats<Entry> (entries: readonly Entry[], keyOf: (entry: Entry) => string): readonly number[] {
  const seen = new Set<string>()
  return entries.flatMap((entry, index) => {
    const key = keyOf(entry)
    const repeated = seen.has(key)
    seen.add(key)
    return repeated ? [index] : []
  })
}
