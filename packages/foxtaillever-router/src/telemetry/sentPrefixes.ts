/**
 * Prefixes that this instance sent lately, to tell wasted recomputation: tokens
 * computed although they had been computed shortly before.
 */
import type { PrefixLevel } from 'foxtaillever-core'

/** Engines evict cached blocks within seconds; a minute is the most that could have been kept. */
const REMEMBERED_MS = 60_000

/** Three levels of the requests of a minute at the two-year size, and some more. */
const KEPT_PREFIXES = 4096

export class SentPrefixes {
  /** Key to the instant until which it counts; oldest first. */
  private readonly until = new Map<string, number>()

  private constructor () {}

  static create (): SentPrefixes {
    return new SentPrefixes()
  }

  /** @returns the longest prefix, in tokens, that was sent lately. */
  longest (account: string, model: string, levels: readonly PrefixLevel[], now: number): number {
    const known = levels.filter(({ hash }) => (this.until.get(`${account}/${model}/${hash}`) ?? 0) > now)
    return known.at(-1)?.tokens ?? 0
  }

  add (account: string, model: string, levels: readonly PrefixLevel[], now: number): void {
    for (const { hash } of levels) {
      const key = `${account}/${model}/${hash}`
      this.until.delete(key)
      this.until.set(key, now + REMEMBERED_MS)
    }
    while (this.until.size > KEPT_PREFIXES) {
      this.until.delete(this.until.keys().next().value as string)
    }
  }
}
