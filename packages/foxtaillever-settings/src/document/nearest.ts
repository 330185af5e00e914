/**
 * Finds the name that was probably meant.
 */
import { withoutUnit } from './units.js'

/** Farther names are no help, in changed letters. */
const FARTHEST = 3

/** Levenshtein's distance. */
function distance (one: string, other: string): number {
  let row = Array.from({ length: other.length + 1 }, (_, index) => index)
  for (let i = 1; i <= one.length; i++) {
    const next = [i]
    for (let j = 1; j <= other.length; j++) {
      const change = (row[j - 1] ?? 0) + (one[i - 1] === other[j - 1] ? 0 : 1)
      next.push(Math.min(change, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1))
    }
    row = next
  }
  return row[other.length] ?? 0
}

/** The known name nearest to a wrong one; the same name with another unit comes first. */
export function nearest (wrong: string, known: readonly string[]): string | undefined {
  const sameButUnit = known.find(name => withoutUnit(name) === withoutUnit(wrong))
  if (sameButUnit) {
    return sameButUnit
  }
  const near = known
    .map(name => ({ name, distance: distance(wrong.toLowerCase(), name.toLowerCase()) }))
    .filter(entry => entry.distance <= Math.min(FARTHEST, Math.floor(wrong.length / 2)))
    .sort((a, b) => a.distance - b.distance)
  return near[0]?.name
}
