/** Begins an attempt of an exchange at the backend server that was chosen for it. */
import { Attempt, type AttemptListener } from '../attempts/attempt.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'

/**
 * @param headers alternating names and values.
 * @param beganAt milliseconds of Unix time.
 */
export function beginAttempt (context: ExchangeContext, exchange: Exchange, server: KnownServer, headers: readonly string[], beganAt: number, listener: AttemptListener): Attempt {
  const { clock, wire, connectTimeoutMs, directory } = context
  const { id, method, path, body, service } = exchange
  return Attempt.begin({
    clock,
    wire,
    connections: server.connections,
    requestId: id,
    maxIdleMs: isRepeatable(exchange) ? Infinity : directory.observations.trustedIdleMs(service, beganAt),
    connectTimeoutMs,
    call: { method, path, headers, body },
    listener
  })
}
