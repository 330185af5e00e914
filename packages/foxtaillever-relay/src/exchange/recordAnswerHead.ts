/** Records what the head of an answer shows about its server, for all exchanges of the instance. */
import type { AnswerHead } from '../attempts/attempt.js'
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
  // Waiting for new weights or behind other requests says nothing about the prefill speed.
  if (prompt && status < FIRST_UNSUCCESSFUL_STATUS && !inFlight.isChanging && !inFlight.isYielding) {
    const ms = at - inFlight.beganAt
    directory.observations.prefillSpeedOf(service).addSample(inFlight.tokensToRead, ms)
    onSpeedSample(inFlight.server, inFlight.tokensToRead, ms)
  }
  inFlight.recordStatus(status, clock.now())
}
