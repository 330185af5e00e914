/** Finds how an attempt of an exchange reaches its server: over this instance's own links or through another instance. */
import { causesOf } from '../crashes/lostRequests.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { AttemptRoute } from './beginAttempt.js'
import type { ExchangeContext } from './exchangeContext.js'

/** Undefined where no path to the server is known. */
export function findAttemptRoute ({ clock, directory, paths, log }: ExchangeContext, exchange: Exchange, server: KnownServer, { wasUnreachable, triedForwarders }: AttemptLedger): AttemptRoute | undefined {
  const maxIdleMs = isRepeatable(exchange) ? Infinity : directory.observations.trustedIdleMs(exchange.service, clock.now())
  const path = paths.pathTo(server, { requestId: exchange.id, causes: causesOf(exchange), maxIdleMs, wasUnreachable, triedForwarders })
  if (path?.forwarder !== undefined) {
    log.forwarded(exchange, server.listed.id, path.forwarder)
  }
  return path && { path, maxIdleMs }
}
