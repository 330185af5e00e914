/**
 * What an entry instance shows to operators.
 */
import type { AdministrativeState, Configuration, PriorityClass, ServerKind, Verdict } from 'foxtaillever-core'
import type { AcceptedRevision } from 'foxtaillever-fleet'

export interface ConfigurationView {
  readonly configuration: Configuration
  /** Every record of the log up to this offset is folded in. */
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
  /** IP number and port for operators. */
  readonly controlAddress: string
  /** Revision of the configuration in force there, as last heard. */
  readonly revision: number
  /** When it was last heard from, milliseconds of Unix time. */
  readonly heardAt: number
}

export interface ServerView {
  readonly name: string
  readonly kind: ServerKind
  readonly failureDomain: string
  readonly address: string
  readonly state: AdministrativeState
  /** Whether it gets new work from this instance now. */
  readonly ready: boolean
  /** Why not; empty when ready. */
  readonly reason: string
  readonly slots: number
  /** Requests of this instance that run there. */
  readonly running: number
  /** Empty until its first answer. */
  readonly incarnation: string
  /** Share of its usual work that it gets; below 1 when slow, cold or suspect. */
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
  /** One entry a part of the process. */
  readonly parts: Readonly<Record<string, unknown>>
  /** Tables cut to their bound, and how many entries were left out. */
  readonly leftOut: Readonly<Record<string, number>>
}

/** One candidate as it was weighed. */
export interface WeighedServer {
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

/** One thing that was decided for a request, or that became of it. */
export interface Decision {
  readonly kind: DecisionKind
  /** Milliseconds of Unix time. */
  readonly at: number
  /** The rule that decided; empty when nothing was decided. */
  readonly rule: string
  /** Backend server; empty when none is concerned. */
  readonly server: string
  /** Cheapest first; the unit is that of the placement policy. */
  readonly candidates: readonly WeighedServer[]
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
  /** Decisions dropped because one request may keep only so many. */
  readonly leftOut: number
}
