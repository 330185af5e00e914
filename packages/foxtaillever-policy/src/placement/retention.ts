/**
 * How long an engine keeps a cached prefix that nobody uses, learnt from hits
 * and misses. Engines evict within seconds, how many depends on their load, and
 * they do not say. Relying on a prefix that is gone costs its whole prefill.
 */

const FIRST_HALF_LIFE_MS = 10_000
const SHORTEST_MS = 1000
const LONGEST_MS = 600_000

/** One miss weighs more than one hit: a wrong hope costs more than a lost chance. */
const STRETCH = 1.1
const SHRINK = 0.8

export class Retention {
  private halfLifeMs = FIRST_HALF_LIFE_MS

  private constructor () {}

  static create (): Retention {
    return new Retention()
  }

  /** Chance that what was used then is still cached. */
  chance (unusedMs: number): number {
    return 2 ** -(Math.max(0, unusedMs) / this.halfLifeMs)
  }

  observe (unusedMs: number, hit: boolean): void {
    if (hit && unusedMs > this.halfLifeMs / 4) {
      this.halfLifeMs = Math.min(LONGEST_MS, this.halfLifeMs * STRETCH)
    }
    if (!hit && unusedMs < this.halfLifeMs * 4) {
      this.halfLifeMs = Math.max(SHORTEST_MS, this.halfLifeMs * SHRINK)
    }
  }
}
