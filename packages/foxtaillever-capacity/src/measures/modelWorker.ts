/**
 * Models a worker for the measurement of cache events: a prefill queue, and a prefix
 * cache that evicts the least recently used prefixes and expired ones.
 */

/** Capacity of the cache, prefixes. */
const CACHED_PREFIXES = 40

/** How long an unused prefix stays cached, milliseconds; engines evict within seconds. */
const CACHED_MS = 8000

const PREFILL_TOKENS_PER_MS = 20

export class ModelWorker {
  private readonly cache = new Map<number, number>()
  private busyUntil = 0
  private reportedBusyUntil = 0
  private starts = 0

  private constructor () {}

  static create (): ModelWorker {
    return new ModelWorker()
  }

  /** Changes with each restart. */
  incarnation (): number {
    return this.starts
  }

  restart (): void {
    this.cache.clear()
    this.starts += 1
  }

  isCached (prefix: number, now: number): boolean {
    return (this.cache.get(prefix) ?? 0) > now
  }

  /** Lists cached prefixes, most recently used first. */
  listCachedPrefixes (now: number): readonly number[] {
    return [...this.cache].filter(([, until]) => until > now).map(([prefix]) => prefix).reverse()
  }

  prefillMs (tokens: number): number {
    return tokens / PREFILL_TOKENS_PER_MS
  }

  reportLoad (): void {
    this.reportedBusyUntil = this.busyUntil
  }

  reportedWait (now: number): number {
    return Math.max(0, this.reportedBusyUntil - now)
  }

  run (prefix: number, prefixTokens: number, ownTokens: number, now: number): { readonly cached: number, readonly firstTokenAt: number } {
    const cached = this.isCached(prefix, now) ? prefixTokens : 0
    this.busyUntil = Math.max(now, this.busyUntil) + this.prefillMs(prefixTokens - cached + ownTokens)
    this.cachePrefix(prefix, now)
    return { cached, firstTokenAt: this.busyUntil }
  }

  private cachePrefix (prefix: number, now: number): void {
    this.cache.delete(prefix)
    this.cache.set(prefix, now + CACHED_MS)
    if (this.cache.size > CACHED_PREFIXES) {
      this.cache.delete(this.cache.keys().next().value!)
    }
  }
}
