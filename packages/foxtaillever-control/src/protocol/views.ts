/**
 * State of an entry instance, as operators see it.
 */
import type { AdministrativeState, Configuration, PriorityClass, ServerKind, Verdict } from 'foxtaillever-core'
import type { AcceptedRevision } from 'foxtaillever-fleet'

export interface ConfigurationView {
  readonly configuration: Configuration
  /** Every record of the log up to this offset is folded. */
  readonly offset: number
  readonly digest: string
  /** The last accepted revisions and their authors, oldest first. */
  readonly history: readonly AcceptedRevision[]
}

export enum MemberCondition {
  Live = 'live',
  Suspect = 'suspect',
  Leaving = 'leaving'
}

export interface MemberView {
  readonly name: string
  readonly failureDomain: string
  readonly state: MemberCondition
  /** IP address and port for operators. */
  readonly controlAddress: string
  /** Revision of the configuration in force there, as last reported. */
  readonly revision: number
  /** When its last message arrived, milliseconds of Unix time. */
  readonly heardAt: number
}

export interface ServerView {
  readonly name: string
  readonly kind: ServerKind
  readonly failureDomain: string
  readonly address: string
  readonly state: AdministrativeState
  /** Whether this instance sends it new requests now. */
  readonly ready: boolean
  /** Why it is not ready; empty when ready. */
  readonly reason: string
  readonly slots: number
  /** Requests of this instance that run there. */
  readonly running: number
  /** Empty until its first answer. */
  readonly incarnation: string
  /** Share of its usual load that it gets; below 1 when slow, cold or suspect. */
  readonly share: number
}

export interface AccountView {
  readonly name: string
  readonly priority: PriorityClass
  readonly weight: number
  readonly waiting: number
  readonly running: number
  readonly tokensPerSecondLimit: number
  readonly concurrentRequestsLimit: number
}

/** State of a process, consistent at one instant. */
export interface Dump {
  readonly name: string
  readonly failureDomain: string
  /** Milliseconds of Unix time. */
  readonly takenAt: number
  /** One entry per part of the process. */
  readonly parts: Readonly<Record<string, unknown>>
  /** Number of omitted entries of each table that was longer than its limit. */
  readonly leftOut: Readonly<Record<string, number>>
}

/** A candidate and its computed cost. */
export interface ScoredServer {
  readonly server: string
  readonly cost: number
}

export enum DecisionKind {
  Arrived = 'arrived',
  Refused = 'refused',
  Placed = 'placed',
  Claimed = 'claimed',
  Started = 'started',
  FirstToken = 'first-token',
  Retried = 'retried',
  Failed = 'failed',
  Finished = 'finished',
  Cancelled = 'cancelled'
}

/** A decision about a request, or an event of it. */
export interface Decision {
  readonly kind: DecisionKind
  /** Milliseconds of Unix time. */
  readonly at: number
  /** The rule that was applied; empty for an event without a decision. */
  readonly rule: string
  /** Backend server; empty when none is involved. */
  readonly server: string
  /** Cheapest first; the unit is that of the placement policy. */
  readonly candidates: readonly ScoredServer[]
  readonly verdict?: Verdict
  readonly message: string
}

export interface Explanation {
  readonly requestId: string
  /** The instance that served it. */
  readonly instance: string
  readonly account: string
  readonly model: string
  /** Milliseconds of Unix time. */
  readonly arrivedAt: number
  /** Milliseconds of Unix time. */
  readonly deadline: number
  readonly decisions: readonly Decision[]
  /** Number of decisions dropped above the limit for one request. */
  readonly leftOut: number
}
