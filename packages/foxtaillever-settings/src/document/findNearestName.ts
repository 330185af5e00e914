/**
 * Finds the known name that was probably meant by an unknown one.
 */
import { withoutUnit } from './units.js'

/** Largest distance of a suggested name, in changed letters; names farther off do not help. */
const MAX_DISTANCE = 3

/** Levenshtein distance. */
function distance (a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index)
  for (let i = 1; i <= a.length; i++) {
    const next = [i]
    for (let j = 1; j <= b.length; j++) {
      const change = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1)
      next.push(Math.min(change, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1))
    }
    row = next
  }
  return row[b.length] ?? 0
}

/** Returns the known name nearest to a wrong one; prefers the same name with another unit. */
export function findNearestName (wrong: string, known: readonly string[]): string | undefined {
  const sameWithoutUnit = known.find(name => withoutUnit(name) === withoutUnit(wrong))
  if (sameWithoutUnit) {
    return sameWithoutUnit
  }
  const near = known
    .map(name => ({ name, distance: distance(wrong.toLowerCase(), name.toLowerCase()) }))
    .filter(entry => entry.distance <= Math.min(MAX_DISTANCE, Math.floor(wrong.length / 2)))
    .sort((a, b) => a.distance - b.distance)
  return near[0]?.name
}
