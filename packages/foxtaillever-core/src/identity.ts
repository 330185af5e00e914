/**
 * Identity of cached work. Cached blocks may be relied on only where every part
 * matches: another client account, other weights or an engine that has since
 * restarted make them worthless or forbidden.
 */
export interface CacheIdentity {
  readonly account: string
  readonly model: string
  readonly adapter: string
  readonly weightsVersion: string
  /** Drawn anew by the engine at each start. */
  readonly incarnation: string
}

export function isSameCache (one: CacheIdentity, other: CacheIdentity): boolean {
  return one.account === other.account &&
    one.model === other.model &&
    one.adapter === other.adapter &&
    one.weightsVersion === other.weightsVersion &&
    one.incarnation === other.incarnation
}
