/** The watch over one try: how long its server may be silent, by the route's objectives and by what is usual. */
import { firstEventTimeoutAt, nextEventTimeoutAt } from 'foxtaillever-policy/relay/answerTimeout'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import { SilenceWatch } from './silenceWatch.js'

/** @param sentAt milliseconds of Unix time. */
export function watchTry ({ clock, directory }: ExchangeContext, { deadline, route }: Exchange, sentAt: number, onSilent: () => void): SilenceWatch {
  const usualMs = directory.experience.usualTimeOf(route.name).value
  return SilenceWatch.start({
    clock,
    firstUntil: firstEventTimeoutAt({ sentAt, deadline, objectiveMs: route.objectiveMs, usualMs }),
    nextUntil: heardAt => nextEventTimeoutAt(heardAt, route.pauseObjectiveMs),
    onSilent
  })
}
