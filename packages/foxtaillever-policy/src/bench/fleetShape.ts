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
  /** Speeds of the engines relative to that speed, repeated in this order; without it all are equal, and instances know the speed. */
  readonly speedFactors?: readonly number[]
  /** Whether instances estimate the speed of each engine, in addition to that of all engines together. */
  readonly isSpeedKnown?: boolean
  /** The outcome counts requests that begin after this many milliseconds, by when the speeds are known. */
  readonly warmUpMs?: number
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
  /** Wait that 95 in 100 requests do not exceed, milliseconds. */
  readonly p95: number
  /** The same for the requests at the slowest third of the engines. */
  readonly slowestP95: number
}
