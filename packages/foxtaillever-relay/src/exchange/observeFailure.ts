/** What an instance learns from a try that failed, beside what its exchange makes of it. */
import { AttemptFailureKind, meaningOf, mayBeCrash, spoilsConnections, type AttemptFailure } from '../attempts/attemptFailure.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'

export function observeFailure ({ clock, log, directory, suspects }: ExchangeContext, exchange: Exchange, server: string, failure: AttemptFailure): void {
  const { verdict, isServersFault } = meaningOf[failure.kind]
  const now = clock.now()
  log.attemptFailed(exchange, server, failure, verdict)
  if (isServersFault) {
    directory.observeFault(server, now)
  }
  if (failure.kind === AttemptFailureKind.Refused) {
    directory.observeRefusal(server, now)
  }
  if (spoilsConnections(failure)) {
    directory.distrustKept(exchange.service, now)
  }
  if (mayBeCrash(failure.kind)) {
    suspects.accuse(exchange, server, now)
  }
}
