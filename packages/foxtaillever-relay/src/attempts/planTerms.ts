/** What a try tells the server about cached levels, weights and time. */
import { hashNumber } from 'foxtaillever-core'
import type { SavedLevels } from 'foxtaillever-policy/relay/savedLevels'
import type { Exchange, Prompt } from '../model/exchange.js'
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

/** The deepest level that other requests share; the last one is the request's own or its session's. */
function sharedLevelOf ({ levels }: Prompt): string {
  return (levels[levels.length - 2] ?? levels[levels.length - 1])?.id ?? ''
}

/** Hash of the levels that requests share, which names their home; undefined without a prompt. */
export function promptKeyOf ({ prompt, account }: Exchange): number | undefined {
  if (!prompt) {
    return undefined
  }
  const wall = account?.isIsolated === true ? account.name : ''
  return hashNumber(`${prompt.model}/${wall}/${sharedLevelOf(prompt)}`)
}

export interface TermsSources {
  readonly routing: Routing
  readonly savedLevels: SavedLevels
  /** Milliseconds of Unix time. */
  readonly now: number
}

export function planTerms (exchange: Exchange, server: KnownServer, resumeAfter: string, { routing, savedLevels, now }: TermsSources): SendTerms {
  const { prompt, route, account, deadline } = exchange
  const priority = Math.min(LAST_PRIORITY, account?.priority ?? route.priority ?? MIDDLE_PRIORITY)
  const common = { server: server.listed, deadline, priority, resumeAfter }
  const weightsVersion = prompt && server.weights.get(prompt.model)
  if (weightsVersion === undefined) {
    return { ...common, cacheSalt: '', weightsVersion: undefined, fetchFrom: '', saveTo: '', savedLevel: undefined }
  }
  const store = routing.cacheStore?.address ?? ''
  const cacheSalt = cacheSaltOf(exchange, weightsVersion)
  const level = hashNumber(`${prompt?.model}/${cacheSalt}/${prompt && sharedLevelOf(prompt)}`)
  const isSaved = store !== '' && savedLevels.take(level, now)
  return { ...common, cacheSalt, weightsVersion, fetchFrom: store, saveTo: isSaved ? store : '', savedLevel: isSaved ? level : undefined }
}
