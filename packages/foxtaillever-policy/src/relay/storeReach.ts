/**
 * Which stores of cached levels answer. A fetch from one that does not costs
 * its caller some hundred milliseconds, as much as reading the level twice, and
 * every request of the levels at home there pays it. So a few instances look at
 * each store and tell the others.
 *
 * An instance that is cut off itself takes every store for silent. A store
 * counts as silent only when nobody who looked of late says that it answers.
 */

/** What one instance found at a store. */
export interface StoreWord {
  /** Address of the store. */
  readonly store: string
  readonly isSilent: boolean
  /** Changes with each start of the store, which comes back empty; 0 while it was never heard. */
  readonly incarnation: number
}

interface HeardWord extends StoreWord {
  readonly at: number
}

/**
 * A word counts for as long, milliseconds: one that looks tells a third of the
 * instances every half second, so in 4 s all but 1 in 20 have heard it again.
 */
const WORD_COUNTED_MS = 4000

export class StoreReach {
  /** By store, then by the instance that looked. */
  private readonly words = new Map<string, Map<string, HeardWord>>()
  /** Incarnations heard of, by store; words of two that look may cross, and an earlier one is no restart. */
  private readonly incarnations = new Map<string, Set<number>>()

  private constructor () {}

  static create (): StoreReach {
    return new StoreReach()
  }

  /** @returns whether a store has restarted since it was last heard of, and lost what it had. */
  hear (instance: string, words: readonly StoreWord[], now: number): boolean {
    let hasRestarted = false
    for (const word of words) {
      this.wordsOf(word.store).set(instance, { ...word, at: now })
      hasRestarted = this.isRestart(word) || hasRestarted
    }
    return hasRestarted
  }

  answers (store: string, now: number): boolean {
    const words = [...this.words.get(store)?.values() ?? []].filter(({ at }) => at + WORD_COUNTED_MS > now)
    return words.length === 0 || words.some(({ isSilent }) => !isSilent)
  }

  private wordsOf (store: string): Map<string, HeardWord> {
    const words = this.words.get(store) ?? new Map<string, HeardWord>()
    this.words.set(store, words)
    return words
  }

  private isRestart ({ store, incarnation }: StoreWord): boolean {
    const known = this.incarnations.get(store) ?? new Set<number>()
    this.incarnations.set(store, known)
    const isNew = incarnation !== 0 && !known.has(incarnation)
    const isRestart = isNew && known.size > 0
    if (isNew) {
      known.add(incarnation)
    }
    return isRestart
  }
}
