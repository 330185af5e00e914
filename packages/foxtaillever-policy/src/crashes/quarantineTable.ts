/**
 * The causes of crashes that a fleet has quarantined, as one instance knows them.
 * Entries only grow in revision, so instances may receive them in any order and more
 * than once: what is lifted stays as a lifted entry until it expires.
 */
import type { CauseKind } from './suspicion.js'

/** A quarantine ends this long after a request was last refused because of it, milliseconds. */
export const QUARANTINE_MS = 3_600_000

/** It is renewed when less than this is left, milliseconds. */
const RENEW_BELOW_MS = QUARANTINE_MS / 2

const MAX_ENTRIES = 256

export interface Quarantine {
  readonly kind: CauseKind
  /** Id of the level, or digest of the request. */
  readonly id: string
  /** The client account whose requests are refused; undefined for those of all accounts. */
  readonly account: string | undefined
  /** Hashes of the server incarnations that it crashed. */
  readonly servers: readonly number[]
  /** Rises with each decision on the cause. */
  readonly revision: number
  readonly isLifted: boolean
  /** Milliseconds of Unix time. */
  readonly expiresAt: number
}

/** What a quarantine is decided from. */
export type QuarantinedCause = Pick<Quarantine, 'kind' | 'id' | 'account' | 'servers'>

export class QuarantineTable {
  private readonly entries = new Map<string, Quarantine>()

  private constructor () {}

  static create (): QuarantineTable {
    return new QuarantineTable()
  }

  /** All entries that have not expired, lifted ones too; the newest decisions last. */
  list (now: number): Quarantine[] {
    this.entries.forEach(({ expiresAt }, key) => {
      if (expiresAt <= now) {
        this.entries.delete(key)
      }
    })
    return [...this.entries.values()]
  }

  get isEmpty (): boolean {
    return this.entries.size === 0
  }

  /** The quarantine of a cause, unless it is lifted or has expired. */
  find (kind: CauseKind, id: string, now: number): Quarantine | undefined {
    const entry = this.entries.get(keyOf({ kind, id }))
    return entry && !entry.isLifted && entry.expiresAt > now ? entry : undefined
  }

  /** The quarantine of a cause that applies to the account. */
  findFor (kind: CauseKind, id: string, account: string, now: number): Quarantine | undefined {
    const entry = this.find(kind, id, now)
    return entry && (entry.account === undefined || entry.account === account) ? entry : undefined
  }

  /** Decides on a quarantine. */
  add (cause: QuarantinedCause, now: number): Quarantine {
    const known = this.entries.get(keyOf(cause))
    return this.decide({ ...cause, revision: (known?.revision ?? 0) + 1, isLifted: false, expiresAt: now + QUARANTINE_MS }, now)
  }

  /** Extends a quarantine to the requests of all accounts. */
  widen (entry: Quarantine, now: number): Quarantine {
    return this.decide({ ...entry, account: undefined, revision: entry.revision + 1 }, now)
  }

  /** @returns the lifted entry; undefined if the cause is not quarantined. */
  lift (kind: CauseKind, id: string, now: number): Quarantine | undefined {
    const entry = this.find(kind, id, now)
    return entry && this.decide({ ...entry, isLifted: true, revision: entry.revision + 1 }, now)
  }

  /** Records that a request was refused. @returns the renewed entry where little of its time was left. */
  renew (entry: Quarantine, now: number): Quarantine | undefined {
    return entry.expiresAt - now < RENEW_BELOW_MS ? this.decide({ ...entry, revision: entry.revision + 1, expiresAt: now + QUARANTINE_MS }, now) : undefined
  }

  /** Applies the decision of another instance. @returns the entry if it is new here. */
  apply (entry: Quarantine, now: number): Quarantine | undefined {
    const known = this.entries.get(keyOf(entry))
    if (entry.expiresAt <= now || (known !== undefined && known.revision > entry.revision)) {
      return undefined
    }
    return known?.revision === entry.revision ? this.merge(known, entry) : this.decide(entry, now)
  }

  /** Two instances that decided at the same time may know of different accounts. */
  private merge (known: Quarantine, entry: Quarantine): Quarantine | undefined {
    const account = known.account === entry.account ? known.account : undefined
    if (account === known.account && known.isLifted === (known.isLifted || entry.isLifted)) {
      return undefined
    }
    const merged = { ...known, account, isLifted: known.isLifted || entry.isLifted }
    this.entries.set(keyOf(merged), merged)
    return merged
  }

  private decide (entry: Quarantine, now: number): Quarantine {
    if (this.entries.size >= MAX_ENTRIES) {
      const [oldest] = this.list(now)
      if (oldest) {
        this.entries.delete(keyOf(oldest))
      }
    }
    const key = keyOf(entry)
    this.entries.delete(key)
    this.entries.set(key, entry)
    return entry
  }
}

function keyOf ({ kind, id }: Pick<Quarantine, 'kind' | 'id'>): string {
  return `${kind}/${id}`
}
