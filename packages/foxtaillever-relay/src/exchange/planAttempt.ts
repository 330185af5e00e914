/** Plans the next attempt of an exchange at a server, based on the load known to wait there. */
import { expectedStart, planTerms } from '../attempts/planTerms.js'
import type { Exchange } from '../model/exchange.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ExchangeContext } from './exchangeContext.js'

export interface PlannedAttempt {
  readonly terms: SendTerms
  /** Prompt tokens from other instances that the server has yet to read. */
  readonly othersTokens: number
}

/** What an attempt continues from. */
export interface AttemptStart {
  /** Id of the last event that the caller has received; empty for none. */
  readonly resumeAfter: string
  /** The owner of the server's queue admitted the request in its turn, so it does not yield. */
  readonly isAdmitted: boolean
}

export function planAttempt (context: ExchangeContext, exchange: Exchange, server: KnownServer, { resumeAfter, isAdmitted }: AttemptStart): PlannedAttempt {
  const { clock, caches, directory, log, othersTokensAt, routing } = context
  const othersTokens = othersTokensAt(server)
  const tokensPerMs = directory.observations.tokensPerMsOf(server)
  const pace = { tokensBefore: server.unreadTokens + othersTokens, tokensPerMs, now: clock.now() }
  const terms = planTerms(exchange, server, resumeAfter, { ...caches, ...pace, mayYield: !isAdmitted && resumeAfter === '', routing: routing(), stores: caches.available() })
  if (terms.isYielding) {
    log.yields(exchange, server.listed.id, expectedStart(exchange, terms.unreadTokens, pace))
  }
  return { terms, othersTokens }
}
