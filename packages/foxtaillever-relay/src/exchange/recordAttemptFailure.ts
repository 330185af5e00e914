/** Records what a failed attempt shows about its server, for all exchanges of the instance. */
import { AttemptFailureKind, meaningOf, mayBeCrash, mayBeStaleConnection, type AttemptFailure } from '../attempts/attemptFailure.js'
import type { Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'

export function recordAttemptFailure ({ clock, log, directory, suspects, onUnreachable }: ExchangeContext, exchange: Exchange, server: KnownServer | undefined, failure: AttemptFailure): void {
  const { verdict, isServerFault } = meaningOf[failure.kind]
  const now = clock.now()
  const id = server?.listed.id ?? ''
  log.attemptFailed(exchange, id, failure, verdict, { serverAt: server?.heardAt ?? 0, anyServerAt: directory.heardAt, now })
  if (server && isServerFault) {
    directory.observations.recordFault(server, now)
  }
  if (server && failure.kind === AttemptFailureKind.Unreachable) {
    directory.observations.recordUnreachable(server, now)
    onUnreachable(server)
  }
  if (server && failure.kind === AttemptFailureKind.Misdirected && failure.serverId !== undefined && failure.serverId !== id) {
    directory.observations.recordDisplaced(server, now)
  }
  if (server && failure.kind === AttemptFailureKind.Refused) {
    // The server is full, or about to change its weights.
    server.refusedAt = now
  }
  if (mayBeStaleConnection(failure)) {
    directory.observations.distrustIdleConnections(exchange.service, now)
  }
  if (mayBeCrash(failure.kind)) {
    suspects.recordLoss(exchange, id, now)
  }
}
