/** Interface to the reports and orders of engines. */
import type { Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import type { KnownServer } from '../servers/knownServer.js'

/** An engine's report about itself, some hundred milliseconds old. */
export interface EngineReport {
  /** When the engine started, milliseconds of Unix time; undefined where engines do not report it. */
  readonly startedAt: number | undefined
  readonly weights: ReadonlyMap<string, number>
  /** Whether an order is being carried out. */
  readonly isBusy: boolean
  /** Requests that run or wait at the engine. */
  readonly running: number
  /** Orders accepted since the engine started; an order that expects another number is refused. */
  readonly sequence: number
}

export interface WeightsOrder {
  readonly model: string
  readonly version: number
  readonly holder: string
  readonly fence: number
  /** Sequence in the engine's last report, so that a late order has no effect. */
  readonly expectedSequence: number
}

export enum OrderAnswer {
  /** The order is being carried out, or the engine already has the weights. */
  Accepted = 'accepted',
  /** Another order was accepted before, or is being carried out. */
  Conflict = 'conflict',
  /** The engine has seen a higher fencing number: this holder has lost the lease. */
  Fenced = 'fenced',
  Refused = 'refused',
  /** Another server has the engine's address. */
  Displaced = 'displaced',
  /** No answer came; the order may still be carried out. */
  Unknown = 'unknown'
}

/** Requests that run when an order arrives continue under the new weights. */
export interface EngineOrders {
  readonly report: (server: KnownServer) => Promise<Either<Failure, EngineReport>>
  readonly order: (server: KnownServer, order: WeightsOrder) => Promise<Either<Failure, OrderAnswer>>
}
