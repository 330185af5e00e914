/**
 * Soft state: what an instance tells all others and repeats while it holds. A
 * fact is gone at its deadline, so that the silent are forgotten.
 */
export enum FactKind {
  /** A request suspected of crashing backend servers. */
  Suspect = 1,
  /** An account's demand here, for accounts near their limit. */
  AccountDemand = 2,
  /** That knowledge of a backend server's cache is doubtful. */
  CacheDoubt = 3,
  /** What a backend server reported of its load. */
  ServerLoad = 4,
  /** A prefix that many requests share now. */
  HotPrefix = 5,
  /** Thinned cache events of a backend server. */
  CacheSummary = 6
}

export interface Fact {
  /** Name of the instance that says it. */
  readonly source: string
  readonly kind: FactKind
  /** What it is about: an account, a backend server, a digest. */
  readonly key: string
  /** Rises with each word of one source on one key. */
  readonly version: number
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** Small; encoded by msgpackr. */
  readonly value: unknown
}

/** One name for all words of one source on one key. */
export function factId ({ source, kind, key }: Pick<Fact, 'source' | 'kind' | 'key'>): string {
  return `${kind}/${key}/${source}`
}
