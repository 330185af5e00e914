/**
 * Soft state: facts that an instance sends to all others and repeats while they
 * hold. A fact expires at its deadline, so that facts of an instance that no
 * longer sends are dropped.
 */
export enum FactKind {
  /** A request suspected of crashing backend servers. */
  Suspect = 1,
  /** Demand of a client account at the sending instance, for accounts near their limit. */
  AccountDemand = 2,
  /** What is known of a backend server's cache may be wrong. */
  CacheStateUncertain = 3,
  /** Load that a backend server reported. */
  ServerLoad = 4,
  /** A prefix that many requests share at present. */
  HotPrefix = 5,
  /** Summary of a backend server's cache events. */
  CacheSummary = 6
}

export interface Fact {
  /** Name of the instance that states the fact. */
  readonly source: string
  readonly kind: FactKind
  /** Subject of the fact: an account, a backend server or a digest. */
  readonly key: string
  /** Rises with each statement of one source about one key. */
  readonly version: number
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** A small value; encoded by msgpackr. */
  readonly value: unknown
}

/** Identifies all statements of one kind from one source about one key. */
export function factId ({ source, kind, key }: Pick<Fact, 'source' | 'kind' | 'key'>): string {
  return `${kind}/${key}/${source}`
}
