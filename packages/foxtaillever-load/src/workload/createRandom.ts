/**
 * Randomness of a run. The generator's first numbers hardly depend on a small
 * seed (the very first is close to 1), which would open every run with a long
 * silence; they are passed over.
 */
import { SeededRandom, type Random } from 'foxtaillever-core'

const PASSED_OVER = 64

export function createRandom (seed: number): Random {
  const random = SeededRandom.create(seed)
  for (let index = 0; index < PASSED_OVER; index++) {
    random.next()
  }
  return random
}
