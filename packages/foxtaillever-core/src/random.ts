/**
 * Source of randomness: one seeded generator per process, passed in, so that
 * every decision can be replayed.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { JumpableRandomGenerator } from 'pure-rand/types/JumpableRandomGenerator'

export interface Random {
  /** A number at least 0 and below 1. */
  next: () => number
  /** A whole number at least 0 and below the bound. */
  below: (bound: number) => number
}

const RANGE = 2 ** 32

/**
 * The generator's first numbers hardly depend on a small seed: the very first
 * one is close to 1 for all of them. Without skipping them, instances with
 * consecutive seeds would select the same backend server at the same time.
 */
const SKIPPED_DRAWS = 64

export class SeededRandom implements Random {
  private constructor (private readonly generator: JumpableRandomGenerator) {}

  static create (seed: number): SeededRandom {
    const generator = xoroshiro128plus(seed)
    for (let index = 0; index < SKIPPED_DRAWS; index++) {
      generator.next()
    }
    return new SeededRandom(generator)
  }

  next (): number {
    return (this.generator.next() >>> 0) / RANGE
  }

  below (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}

/** An exponentially distributed number, for open-loop arrivals; it has the unit of the mean. */
export function exponential (random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}
