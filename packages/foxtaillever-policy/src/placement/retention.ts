/**
 * Estimates how long an engine keeps an unused prefix cached, from hits and
 * misses. Engines evict within seconds, depending on their load, and do not
 * report it. Relying on an evicted prefix costs its whole prefill.
 */

const INITIAL_HALF_LIFE_MS = 10_000
const MIN_HALF_LIFE_MS = 1000
const MAX_HALF_LIFE_MS = 600_000

/** A miss changes the half-life more than a hit: expecting an evicted prefix costs more than missing a cached one. */
const GROWTH_ON_HIT = 1.1
const SHRINK_ON_MISS = 0.8

export class Retention {
  private halfLifeMs = INITIAL_HALF_LIFE_MS

  private constructor () {}

  static create (): Retention {
    return new Retention()
  }

  /** Probability that a prefix unused for this long is still cached. */
  chanceCached (unusedMs: number): number {
    return 2 ** -(Math.max(0, unusedMs) / this.halfLifeMs)
  }

  recordLookup (unusedMs: number, hit: boolean): void {
    if (hit && unusedMs > this.halfLifeMs / 4) {
      this.halfLifeMs = Math.min(MAX_HALF_LIFE_MS, this.halfLifeMs * GROWTH_ON_HIT)
    }
    if (!hit && unusedMs < this.halfLifeMs * 4) {
      this.halfLifeMs = Math.max(MIN_HALF_LIFE_MS, this.halfLifeMs * SHRINK_ON_MISS)
    }
  }
}
