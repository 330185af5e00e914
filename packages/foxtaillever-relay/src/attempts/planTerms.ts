/** What a try tells the server about cached levels, weights and time. */
import { hashNumber } from 'foxtaillever-core'
import type { Exchange } from '../model/exchange.js'
import type { Routing } from '../model/routing.js'
import type { SendTerms } from '../model/wire.js'
import type { KnownServer } from '../servers/knownServer.js'

/** Priority of requests whose route names none. */
const MIDDLE_PRIORITY = 5

/** Least urgent priority of the engines. */
const LAST_PRIORITY = 9

/**
 * Identity under which levels are cached. Neither engines nor stores say under
 * which weights a level was made, and they check no account: so both are part
 * of the name, and a level of other weights or behind a wall is never found.
 */
export function cacheSaltOf ({ account }: Exchange, weightsVersion: number): string {
  const wall = account?.isIsolated === true ? `a:${account.name}` : 'shared'
  return `${wall}/w${weightsVersion}`
}

/** Hash of the levels that requests share, which names their home; undefined without a prompt. */
export function promptKeyOf ({ prompt, account }: Exchange): number | undefined {
  if (!prompt) {
    return undefined
  }
  const { levels } = prompt
  // The last level is the request's own or its session's.
  const shared = levels[levels.length - 2] ?? levels[levels.length - 1]
  const wall = account?.isIsolated === true ? account.name : ''
  return hashNumber(`${prompt.model}/${wall}/${shared?.id ?? ''}`)
}

export function planTerms (exchange: Exchange, server: KnownServer, routing: Routing, resumeAfter: string): SendTerms {
  const { prompt, route, account, deadline } = exchange
  const priority = Math.min(LAST_PRIORITY, account?.priority ?? route.priority ?? MIDDLE_PRIORITY)
  const common = { server: server.listed, deadline, priority, resumeAfter }
  const weightsVersion = prompt && server.weights.get(prompt.model)
  if (weightsVersion === undefined) {
    return { ...common, cacheSalt: '', weightsVersion: undefined, fetchFrom: '', saveTo: '' }
  }
  const store = routing.cacheStore?.address ?? ''
  return { ...common, cacheSalt: cacheSaltOf(exchange, weightsVersion), weightsVersion, fetchFrom: store, saveTo: store }
}
