/** The narrow interface to what engines report and take as orders. */
import type { Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { KnownServer } from '../servers/knownServer.js'

/** What an engine says of itself, some hundred milliseconds late. */
export interface EngineReport {
  /** When it started, milliseconds of Unix time; undefined where engines do not say. */
  readonly startedAt: number | undefined
  readonly weights: ReadonlyMap<string, number>
  /** An order is being carried out. */
  readonly isBusy: boolean
  /** Requests that run or wait there. */
  readonly running: number
  /** Orders accepted since its start; an order that expects another number is refused. */
  readonly sequence: number
}

export interface WeightsOrder {
  readonly model: string
  readonly version: number
  readonly holder: string
  readonly fence: number
  /** Sequence of the engine's report, so that an order that comes late does nothing. */
  readonly expectedSequence: number
}

export enum OrderAnswer {
  /** It is being carried out, or holds already. */
  Accepted = 'accepted',
  /** Another order came first, or is being carried out. */
  Conflict = 'conflict',
  /** A higher fencing number was seen: this holder is one no more. */
  Fenced = 'fenced',
  Refused = 'refused',
  /** Another server has the address. */
  Displaced = 'displaced',
  /** No answer came; the order may be carried out yet. */
  Unknown = 'unknown'
}

/** Requests that run when the order arrives go on under the new weights. */
export interface EngineOrders {
  readonly report: (server: KnownServer) => Promise<Either<Failure, EngineReport>>
  readonly order: (server: KnownServer, order: WeightsOrder) => Promise<Either<Failure, OrderAnswer>>
}
