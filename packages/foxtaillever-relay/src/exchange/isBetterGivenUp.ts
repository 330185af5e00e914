/** Whether a try whose server is silent is given up for another. */
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { OpenTry } from './openTry.js'
import type { TryLedger } from './tryLedger.js'

export interface SilentTry {
  readonly current: OpenTry
  readonly ledger: TryLedger
  /** Another server can go on where the answer stands. */
  readonly canContinue: boolean
  /** The caller has a part of the answer. */
  readonly hasBegun: boolean
}

export function isBetterGivenUp ({ clock, retries }: ExchangeContext, exchange: Exchange, { current, ledger, canContinue, hasBegun }: SilentTry): boolean {
  // One that waits its turn in the engine's queue would only wait again elsewhere.
  const isQueued = exchange.route.isStream && !hasBegun && (!current.isOvertaken || current.isYielding)
  return !isQueued && isRepeatable(exchange) && canContinue && ledger.hasTriesLeft && retries.canRetry(exchange.service, clock.now())
}
