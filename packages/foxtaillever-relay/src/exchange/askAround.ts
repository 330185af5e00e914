/**
 * Asks for the load of the servers that a prompt's choice comes down to: of the home of its levels,
 * and of the next best only where the home is not the first choice. Words of the others have faded,
 * so they look idler than they are; a home that comes first all the same would come first after
 * asking too.
 */
import type { Exchange } from '../model/exchange.js'
import type { LevelAtHome, LoadWish } from '../peers/loadQuestions.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { AskedServers, EarlierTries, ServerChoice } from '../servers/serverChoice.js'

export interface LoadAsking {
  readonly choice: Pick<ServerChoice, 'homeOf' | 'isFirst' | 'shortlist'>
  /** Undefined where the load is known. Never fails. */
  readonly ask: (wish: () => LoadWish) => Promise<AskedServers> | undefined
  readonly levelAt: (exchange: Exchange, home: KnownServer) => LevelAtHome | undefined
}

export async function askAround ({ choice, ask, levelAt }: LoadAsking, exchange: Exchange, earlier: EarlierTries): Promise<AskedServers> {
  const home = choice.homeOf(exchange)
  const asked = home && await ask(() => ({ servers: [home.hash], level: levelAt(exchange, home) }))
  if (home && asked && choice.isFirst(home, exchange, earlier)) {
    return asked
  }
  const others = await ask(() => ({ servers: choice.shortlist(exchange, earlier).filter(server => asked?.has(server) !== true) }))
  return new Set([...asked ?? [], ...others ?? []])
}
