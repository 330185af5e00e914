/**
 * Identity of cached blocks. They may be used only where every part matches:
 * those of another client account are forbidden, those of other weights or of an
 * earlier incarnation of the engine are useless.
 */
export interface CacheIdentity {
  readonly account: string
  readonly model: string
  readonly adapter: string
  readonly weightsVersion: string
  /** Drawn anew by the engine at each start. */
  readonly incarnation: string
}

export function isSameCache (a: CacheIdentity, b: CacheIdentity): boolean {
  return a.account === b.account &&
    a.model === b.model &&
    a.adapter === b.adapter &&
    a.weightsVersion === b.weightsVersion &&
    a.incarnation === b.incarnation
}
