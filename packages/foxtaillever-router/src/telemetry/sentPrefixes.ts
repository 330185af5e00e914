/**
 * Prefixes that this instance sent recently. They are used to count wasted
 * recomputation: tokens computed again shortly after they were computed before.
 */
import type { PrefixLevel } from 'foxtaillever-core'

/** Engines evict cached blocks within seconds; none is cached for longer than a minute. */
const RETENTION_MS = 60_000

/** More than three prefix levels of each request of a minute, at the rate expected in two years. */
const MAX_PREFIXES = 4096

export class SentPrefixes {
  /** When each prefix expires, milliseconds of Unix time; oldest first. */
  private readonly expiryTimes = new Map<string, number>()

  private constructor () {}

  static create (): SentPrefixes {
    return new SentPrefixes()
  }

  /** @returns the length in tokens of the longest prefix that was sent recently. */
  longestPrefix (account: string, model: string, levels: readonly PrefixLevel[], now: number): number {
    const known = levels.filter(({ hash }) => (this.expiryTimes.get(`${account}/${model}/${hash}`) ?? 0) > now)
    return known.at(-1)?.tokens ?? 0
  }

  add (account: string, model: string, levels: readonly PrefixLevel[], now: number): void {
    for (const { hash } of levels) {
      const key = `${account}/${model}/${hash}`
      this.expiryTimes.delete(key)
      this.expiryTimes.set(key, now + RETENTION_MS)
    }
    while (this.expiryTimes.size > MAX_PREFIXES) {
      this.expiryTimes.delete(this.expiryTimes.keys().next().value as string)
    }
  }
}
