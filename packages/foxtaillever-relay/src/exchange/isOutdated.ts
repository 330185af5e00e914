/** Decides whether an attempt that waits at its server is to be sent again, because other accounts share cached levels than when it was sent. */
import { cacheSaltOf } from '../attempts/planTerms.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { InFlightAttempt } from './inFlightAttempt.js'

/** A request that may run only once keeps its place, because the server may have begun it, and so does one that no server would take again. */
export function isOutdated ({ routing, selectServer }: Pick<ExchangeContext, 'routing' | 'selectServer'>, exchange: Exchange, attempt: InFlightAttempt, ledger: AttemptLedger): boolean {
  const { cacheSalt, expectedWeights } = attempt
  return expectedWeights !== undefined && cacheSalt !== cacheSaltOf(exchange, routing(), expectedWeights) && isRepeatable(exchange) && ledger.hasAttemptsBeside(attempt) && selectServer(exchange, ledger, undefined) !== undefined
}
