/** How requests and their attempts ended, for the log. */
import type { Verdict } from 'foxtaillever-core'
import type { IncompleteAnswer } from '../exchange/answerProgress.js'
import type { ExchangeEnd } from '../exchange/exchangeEnd.js'
import type { Exchange } from '../model/exchange.js'

/** How an exchange ended. */
export interface ExchangeOutcome {
  readonly exchange: Exchange
  readonly end: ExchangeEnd
  /** Status, or the failure's code. */
  readonly outcome: string
  readonly verdict: Verdict
  readonly servers: readonly string[]
  /** Timing of a streamed answer; see `StreamPace`. */
  readonly pace: { readonly firstMs: number, readonly pauseMs: number } | undefined
  readonly now: number
  /** Why the exchange failed, if it did. */
  readonly reason?: string | undefined
  /** What the caller has of an answer that is not complete; undefined where none has begun. */
  readonly incomplete?: IncompleteAnswer | undefined
}

/** A request of another instance that this one carried to a server. */
export interface CarriedRequest {
  readonly request: string
  readonly from: string
  readonly server: string
  /** `ExchangeEnd.Answered`, `cancelled` if the call closed before the answer was complete, or the kind of failure that went back. */
  readonly outcome: string
  readonly ms: number
  /** Bytes of the answer's body that were passed on. */
  readonly bytes: number
  /** For how long the server had been answering, milliseconds; undefined if no answer began. */
  readonly answeringMs: number | undefined
}

/** When this instance last received anything from backend servers, milliseconds of Unix time; 0 for never. */
export interface LastHeard {
  readonly serverAt: number
  readonly anyServerAt: number
  readonly now: number
  /** Address of the instance that carried the request; undefined for none. */
  readonly forwarder?: string | undefined
  /** When the head of the answer arrived; undefined if it did not. */
  readonly answeredAt?: number | undefined
}
