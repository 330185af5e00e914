/** Decides what follows when the server of an attempt has sent nothing for too long. */
import { Suspicion } from '../links/linkCheck.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { InFlightAttempt } from './inFlightAttempt.js'
import { shouldReplace, type SilentAttempt } from './shouldReplace.js'

/** Silence of an attempt after which broken links are taken to be its cause, milliseconds. */
const BROKEN_SILENCE_MS = 250

/** Whether the attempt has been silent for so long on a broken link that it is likely lost. */
export function isSilentOnBrokenLink ({ clock, paths }: ExchangeContext, attempt: InFlightAttempt | undefined): boolean {
  return attempt !== undefined && attempt.forwarder === undefined && paths.isBroken(attempt.server) && attempt.activeAt + BROKEN_SILENCE_MS <= clock.now()
}

/** @param onServerAtFault called when the silence is the server's; not for requests that another instance carries. */
export function suspectSilentServer ({ paths }: ExchangeContext, { forwarder, server, beganAt }: InFlightAttempt, onServerAtFault: () => void): void {
  if (forwarder === undefined) {
    paths.suspect(server, Suspicion.Unresponsive, beganAt, { onServerAtFault })
  }
}

/** Returns whether another attempt is to replace the silent one. */
export function handleSilence (context: ExchangeContext, exchange: Exchange, silent: SilentAttempt): boolean {
  const { clock, log, paths, directory: { observations } } = context
  const { current } = silent
  const { attempt, server, forwarder } = current
  log.silent(exchange, current.serverId, attempt.isOnReusedConnection)
  if (forwarder === undefined && !paths.isBroken(server)) {
    // Connections of the same age tend to go silent together; the server itself may be healthy.
    server.connections.closeIdle()
  }
  if (shouldReplace(context, exchange, silent)) {
    return true
  }
  if (!attempt.isOnReusedConnection) {
    suspectSilentServer(context, current, () => observations.recordFault(server, clock.now()))
  }
  return false
}
