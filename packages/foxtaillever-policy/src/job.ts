/**
 * What a decision knows of a request, and what decisions look like.
 */
import type { Failure, PrefixLevel, PriorityClass } from 'foxtaillever-core'

export interface Job {
  readonly id: string
  readonly account: string
  readonly model: string
  readonly priority: PriorityClass
  readonly idempotent: boolean
  /** Milliseconds of Unix time. */
  readonly arrivedAt: number
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** Ends of prompt levels, shortest prefix first. */
  readonly levels: readonly PrefixLevel[]
  readonly promptTokens: number
  readonly maxTokens: number
  /** Digest of account and prompt; the same request sent again has the same. */
  readonly fingerprint: string
}

/** One backend server weighed for one job. */
export interface Candidate {
  readonly server: string
  /** Cost in the unit of the placement policy; lower is better. */
  readonly cost: number
}

/** Send the job to the backend server now. */
export interface Assignment {
  readonly jobId: string
  readonly server: string
  /** What was weighed, cheapest first; kept for explanations. */
  readonly candidates: readonly Candidate[]
  /** Name of the rule that decided. */
  readonly rule: string
}

/** Answer the job with this failure now. */
export interface Refusal {
  readonly jobId: string
  readonly failure: Failure
  /** Name of the rule that refused. */
  readonly rule: string
}

export interface Decisions {
  readonly assignments: readonly Assignment[]
  readonly refusals: readonly Refusal[]
}
