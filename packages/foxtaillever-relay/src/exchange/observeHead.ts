/** What an instance learns from the head of an answer, beside what its exchange makes of it. */
import type { AnswerHead } from '../attempts/attempt.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import type { OpenTry } from './openTry.js'

/** Statuses below say that the request ran well. */
const FIRST_NOT_WELL = 300

export function observeHead ({ clock, directory }: ExchangeContext, { prompt, service }: Exchange, tried: OpenTry, { status, marks, at }: AnswerHead): void {
  const { weightsVersion } = marks
  tried.begin()
  if (prompt && weightsVersion !== undefined) {
    directory.observeWeights(tried.server, prompt.model, weightsVersion)
  }
  // A wait for new weights, or for requests that went before it, says nothing of reading.
  if (prompt && status < FIRST_NOT_WELL && !tried.isChanging && !tried.isYielding) {
    directory.experience.prefillSpeedOf(service).addSample(tried.tokensToRead, at - tried.beganAt)
  }
  tried.observeStatus(status, clock.now())
}
