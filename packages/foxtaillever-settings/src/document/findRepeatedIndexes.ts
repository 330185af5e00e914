/** Returns the indexes of entries that have the key of an earlier entry. */
export function findRepeatedIndexes<Entry> (entries: readonly Entry[], keyOf: (entry: Entry) => string): readonly number[] {
  const seen = new Set<string>()
  return entries.flatMap((entry, index) => {
    const key = keyOf(entry)
    const repeated = seen.has(key)
    seen.add(key)
    return repeated ? [index] : []
  })
}
