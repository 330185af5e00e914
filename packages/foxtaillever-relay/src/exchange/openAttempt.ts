/** Plans an attempt of an exchange, sends it, and begins to count it against its server. */
import type { AnswerHead } from '../attempts/attempt.js'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import { heldTokensOf, type Exchange } from '../model/exchange.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AttemptPlace } from './attemptLedger.js'
import { beginAttempt, type AttemptRoute } from './beginAttempt.js'
import type { ExchangeContext } from './exchangeContext.js'
import { InFlightAttempt } from './inFlightAttempt.js'
import { planAttempt, type AttemptStart } from './planAttempt.js'
import { watchAttempt } from './watchAttempt.js'

export interface AttemptTarget extends AttemptStart {
  readonly server: KnownServer
  readonly route: AttemptRoute
}

export interface InFlightListener {
  /** Called before the first byte is sent; returning false holds the request back. */
  readonly maySend: (place: AttemptPlace) => boolean
  readonly onHead: (inFlight: InFlightAttempt, head: AnswerHead) => void
  readonly onData: (inFlight: InFlightAttempt, bytes: Buffer) => void
  readonly onEnd: (inFlight: InFlightAttempt) => void
  readonly onFailed: (inFlight: InFlightAttempt, failure: AttemptFailure) => void
  /** A step of the attempt threw, and the attempt is cancelled. */
  readonly onError: (error: unknown) => void
  /** The server has sent nothing for too long; called again after each further wait. */
  readonly onSilent: (inFlight: InFlightAttempt) => void
}

export function openAttempt (context: ExchangeContext, exchange: Exchange, target: AttemptTarget, listener: InFlightListener): InFlightAttempt {
  const { clock, directory, wire } = context
  const { server, route } = target
  const beganAt = clock.now()
  const { terms, othersTokens } = planAttempt(context, exchange, server, target)
  const attempt = beginAttempt(context, exchange, route, wire.createHeaders(exchange, terms, beganAt), {
    maySend: () => listener.maySend({ serverId: server.listed.id, forwarder: route.path.forwarder }),
    onHead: head => listener.onHead(inFlight, head),
    onData: bytes => listener.onData(inFlight, bytes),
    onEnd: () => listener.onEnd(inFlight),
    onFailed: failure => listener.onFailed(inFlight, failure),
    onError: listener.onError
  })
  let inFlight: InFlightAttempt
  try {
    inFlight = InFlightAttempt.open({
      attempt,
      server,
      beganAt,
      terms,
      heldTokens: heldTokensOf(exchange),
      othersTokens,
      usualMs: directory.observations.usualTimeOf(exchange.route.name).value,
      watch: watchAttempt(context, exchange, beganAt, () => listener.onSilent(inFlight)),
      forwarder: route.path.forwarder,
      context
    })
  } catch (error) {
    attempt.cancel()
    throw error
  }
  return inFlight
}
