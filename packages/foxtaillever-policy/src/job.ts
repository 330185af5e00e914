/**
 * The jobs that the scheduler decides on, and its decisions.
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
  /** Digest of account and prompt; a repeated request has the same fingerprint. */
  readonly fingerprint: string
}

/** One backend server scored for one job. */
export interface Candidate {
  readonly server: string
  /** Cost in the unit of the placement policy; lower is better. */
  readonly cost: number
}

/** Decision to send the job to the backend server now. */
export interface Assignment {
  readonly jobId: string
  readonly server: string
  /** The scored servers, lowest cost first; kept for explanations. */
  readonly candidates: readonly Candidate[]
  /** Name of the placement policy that decided. */
  readonly rule: string
}

/** Decision to refuse the job with this failure now. */
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
