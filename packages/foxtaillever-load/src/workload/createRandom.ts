/**
 * Creates the random generator of a run. The generator's first numbers hardly
 * depend on a small seed (the very first is close to 1), so every run would
 * start with a long time without arrivals; these numbers are skipped.
 */
import { SeededRandom, type Random } from 'foxtaillever-core'

const SKIPPED_DRAWS = 64

export function createRandom (seed: number): Random {
  const random = SeededRandom.create(seed)
  for (let index = 0; index < SKIPPED_DRAWS; index++) {
    random.next()
  }
  return random
}
