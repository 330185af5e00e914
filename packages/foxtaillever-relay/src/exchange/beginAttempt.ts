/** Begins an attempt of an exchange at the backend server that was chosen for it. */
import { Attempt, type AttemptListener } from '../attempts/attempt.js'
import { omitForwarding } from '../links/forwardingMessage.js'
import type { ServerPath } from '../links/serverPaths.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'

export interface AttemptRoute {
  readonly path: ServerPath
  /** Connections that have been idle for longer are not used, milliseconds. */
  readonly maxIdleMs: number
}

/** @param headers alternating names and values. */
export function beginAttempt (context: ExchangeContext, exchange: Exchange, { path, maxIdleMs }: AttemptRoute, headers: readonly string[], listener: AttemptListener): Attempt {
  const { clock, wire, connectTimeoutMs } = context
  const { id, method, path: target, body } = exchange
  return Attempt.begin({
    clock,
    wire: path.forwarder === undefined ? wire : { ...wire, passHeaders: rawHeaders => omitForwarding(wire.passHeaders(rawHeaders)) },
    connections: path.channel,
    readFailure: path.readFailure,
    requestId: id,
    maxIdleMs,
    connectTimeoutMs,
    call: { method, path: target, headers, body },
    listener
  })
}
