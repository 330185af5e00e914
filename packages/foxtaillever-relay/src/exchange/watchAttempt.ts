/** Watches one attempt for silence. How long its server may be silent follows from the route's objectives and its usual response time. */
import { firstEventTimeoutAt, nextEventTimeoutAt } from 'foxtaillever-policy/relay/answerTimeout'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import { SilenceWatch } from './silenceWatch.js'

/** @param sentAt milliseconds of Unix time. */
export function watchAttempt ({ clock, directory }: ExchangeContext, { deadline, route }: Exchange, sentAt: number, onSilent: () => void): SilenceWatch {
  const usualMs = directory.observations.usualTimeOf(route.name).value
  return SilenceWatch.start({
    clock,
    firstUntil: firstEventTimeoutAt({ sentAt, deadline, objectiveMs: route.objectiveMs, usualMs }),
    nextUntil: receivedAt => nextEventTimeoutAt(receivedAt, route.pauseObjectiveMs),
    onSilent
  })
}
