/** Decides whether an attempt at a silent server is to be replaced by another attempt. */
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { InFlightAttempt } from './inFlightAttempt.js'

export interface SilentAttempt {
  readonly current: InFlightAttempt
  readonly ledger: AttemptLedger
  /** Another attempt can continue the answer. */
  readonly canContinue: boolean
  /** A part of the answer was sent to the caller. */
  readonly hasBegun: boolean
}

export function shouldReplace ({ clock, retries, paths }: ExchangeContext, exchange: Exchange, { current, ledger, canContinue, hasBegun }: SilentAttempt): boolean {
  // A request that waits in the engine's queue would only wait again at another server.
  const isQueued = exchange.route.isStream && !hasBegun && (!current.isOvertaken || current.isYielding) && !(current.forwarder === undefined && paths.isBroken(current.server))
  return !isQueued && isRepeatable(exchange) && canContinue && ledger.hasAttemptsBeside(current) && retries.canRetry(exchange.service, clock.now())
}
