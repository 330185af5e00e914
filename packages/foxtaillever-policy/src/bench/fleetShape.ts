/** Parameters and results of the simulated fleet. */

/** How an instance learns of the load that other instances put on engines. */
export enum LoadKnowledge {
  /** It knows only its own requests. */
  None,
  /** Heartbeats to a random part of the others; the last one of each instance counts in full. */
  Heartbeats,
  /** The load of two engines is queried before each choice; queried loads decay with age. */
  Queried
}

export interface FleetShape {
  readonly instances: number
  readonly engines: number
  /** Requests a second at all instances together. */
  readonly rate: number
  /** Capacity of the store's link, tokens a millisecond. */
  readonly linkRate: number
  readonly knowledge: LoadKnowledge
  /** Whether the score of a server that is not the home includes the wait for the link. */
  readonly isLinkCharged: boolean
  /** Share of the datagrams that are lost. */
  readonly loss: number
  /** Prefill speed of an engine, tokens a millisecond. */
  readonly tokensPerMs?: number
  /** Whether requests that the queue would make late yield to those that can be in time. */
  readonly isYielding?: boolean
  readonly seed: number
}

export interface FleetOutcome {
  /** Milliseconds from the choice of an engine to the first token. */
  readonly p50: number
  readonly p99: number
  /** Share of the requests that waited longer than the objective. */
  readonly lateShare: number
  /** Requests a second that met the objective. */
  readonly goodput: number
  /** Share of the requests that prefilled their shared level because the store's link was too busy. */
  readonly repeatedShare: number
  /** Requests that began at the busiest engine, divided by the mean. */
  readonly spread: number
}
