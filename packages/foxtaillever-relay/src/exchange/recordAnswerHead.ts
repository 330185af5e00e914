/** Records what an answer shows about its server, for all exchanges of the instance. */
import type { AnswerHead } from '../attempts/attempt.js'
import { causesOf } from '../crashes/lostRequests.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { InFlightAttempt } from './inFlightAttempt.js'

/** Statuses below this one mean that the request succeeded. */
const FIRST_UNSUCCESSFUL_STATUS = 300

export function recordAnswerHead ({ clock, directory, onSpeedSample }: ExchangeContext, { prompt, service }: Exchange, inFlight: InFlightAttempt, { status, marks, at }: AnswerHead): void {
  const { weightsVersion } = marks
  inFlight.markBegun()
  if (prompt && weightsVersion !== undefined) {
    directory.recordWeights(inFlight.server, prompt.model, weightsVersion)
  }
  // Waiting for new weights, behind other requests or for another instance says nothing about the prefill speed.
  if (prompt && status < FIRST_UNSUCCESSFUL_STATUS && !inFlight.isChanging && !inFlight.isYielding && inFlight.forwarder === undefined) {
    const ms = at - inFlight.beganAt
    directory.observations.prefillSpeedOf(service).addSample(inFlight.tokensToRead, ms)
    onSpeedSample(inFlight.server, inFlight.tokensToRead, ms)
  }
  inFlight.recordStatus(status, clock.now())
}

/** Records a complete answer. */
export function recordAnswer ({ clock, directory, crashes }: ExchangeContext, exchange: Exchange, inFlight: InFlightAttempt | undefined, { at }: AnswerHead): void {
  if (!inFlight) {
    return
  }
  const { server, beganAt } = inFlight
  const now = clock.now()
  directory.observations.recordSuccess(server, exchange.route.name, at - beganAt, now)
  crashes.recordAnswer(causesOf(exchange), exchange.service, server.hash, beganAt)
}
