/** One request that a caller will send, generated before the run. */
import type { ChatMessage, PriorityClass } from 'foxtaillever-core'

export enum ArrivalKind {
  /** A language request with a nested prompt. */
  Language = 'language',
  /** A lookup at the plain service; it may be repeated. */
  Lookup = 'lookup',
  /** An export or order at the plain service; it runs at most once. */
  Export = 'export'
}

export interface Arrival {
  /** Unique within a run; sent as the request id and, for exports, in the idempotency key. */
  readonly id: string
  readonly kind: ArrivalKind
  /** Milliseconds after the start of the run. */
  readonly offsetMs: number
  readonly account: string
  readonly priority: PriorityClass
  /** Index of the entry instance that the load balancer picks. */
  readonly entry: number
  readonly model: string
  /** Empty for plain calls. */
  readonly messages: readonly ChatMessage[]
  readonly maxTokens: number
  /** Tokens of the longest prefix that an earlier arrival of the run already had; the tokens that a perfect cache would save. */
  readonly sharedTokens: number
  /** One-way network delay from the caller to the entry instance, milliseconds. */
  readonly clientDelayMs: number
}
