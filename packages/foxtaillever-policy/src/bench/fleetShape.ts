/** What a fleet is made of in the model of one, and what its callers get. */

/** How an instance knows what the others put on engines. */
export enum Knowledge {
  /** Of its own requests alone. */
  None,
  /** Beats at a random part of the others; the last of each counts whole. */
  Beats,
  /** Two engines' watchers are asked before each choice; sums in beats fade. */
  Asked
}

export interface FleetShape {
  readonly instances: number
  readonly engines: number
  /** Requests a second, all instances together. */
  readonly rate: number
  /** The store's link, tokens a millisecond. */
  readonly linkRate: number
  readonly knowledge: Knowledge
  /** Whether leaving a home costs the wait for the link. */
  readonly isLinkCharged: boolean
  /** Part of the datagrams that are lost. */
  readonly loss: number
  /** What an engine reads in a millisecond, tokens. */
  readonly tokensPerMs?: number
  /** Requests that would be late by the queue go behind those that can be in time. */
  readonly isYielding?: boolean
  readonly seed: number
}

export interface FleetOutcome {
  /** Milliseconds from the choice to the first token. */
  readonly p50: number
  readonly p99: number
  /** Part of the requests that waited for more than the objective. */
  readonly lateShare: number
  /** Requests a second that did not. */
  readonly goodput: number
  /** Part of the shared levels that were read because the store's link was too busy. */
  readonly againShare: number
  /** Requests that began at the busiest engine, in times of the mean. */
  readonly spread: number
}
