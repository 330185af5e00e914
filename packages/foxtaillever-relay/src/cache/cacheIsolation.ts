/**
 * Decides which client accounts share cached levels, for one revision of the configuration.
 *
 * The key of the shared levels depends on the set of isolated accounts and on nothing else.
 * An account in the set therefore neither makes nor uses a level under the key, also if
 * instances apply revisions at different times. All instances compute the same key from the
 * configuration alone, and levels are found again once the set is as it was.
 */
import { hashNumber } from 'foxtaillever-core'
import type { RelayAccount } from '../model/routing.js'

/** Key of the shared levels while no account is isolated. */
const SHARED_KEY = 'shared'

/** Two seeds give 64 bits: two sets that are in use at the same time must not have the same key. */
const HASH_SEEDS = [0, 1] as const

function sharedKeyOf (isolated: ReadonlySet<string>): string {
  if (isolated.size === 0) {
    return SHARED_KEY
  }
  const text = JSON.stringify([...isolated].sort())
  return [SHARED_KEY, ...HASH_SEEDS.map(seed => hashNumber(text, seed).toString(36))].join(':')
}

export class CacheIsolation {
  private readonly isolated: ReadonlySet<string>
  private readonly sharedKey: string

  private constructor (accounts: readonly RelayAccount[]) {
    this.isolated = new Set(accounts.filter(({ isIsolated }) => isIsolated).map(({ name }) => name))
    this.sharedKey = sharedKeyOf(this.isolated)
  }

  static create (accounts: readonly RelayAccount[]): CacheIsolation {
    return new CacheIsolation(accounts)
  }

  /** Whether an account is isolated that is not in the other revision. */
  isolatesMoreThan (other: CacheIsolation): boolean {
    return [...this.isolated].some(name => !other.isolated.has(name))
  }

  /**
   * Isolation key of the cached levels of a request.
   * @param account as of the arrival of the request. If it was isolated then, it stays on its own levels until the request ends.
   */
  keyOf (account: RelayAccount | undefined): string {
    return account !== undefined && (account.isIsolated || this.isolated.has(account.name)) ? `a:${account.name}` : this.sharedKey
  }
}
