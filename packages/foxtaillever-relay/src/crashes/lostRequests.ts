/** Describes requests by what may crash a backend server: the levels of the prompt, and the request as a whole. */
import { createHash } from 'node:crypto'
import type { LostRequest } from 'foxtaillever-policy/crashes/suspicion'
import { sharedLevelsOf, type Exchange } from '../model/exchange.js'

/** What of a lost request stays the same for all its attempts. */
export type RequestCauses = Pick<LostRequest, 'request' | 'account' | 'levels'>

/** Hexadecimal digits of a digest; 64 bits distinguish the requests of a day. */
const DIGEST_DIGITS = 16

/** Ids of levels up to this length are used as they are; longer ones by their digest. */
const MAX_ID_LENGTH = 32

const known = new WeakMap<Exchange, RequestCauses>()

export function causesOf (exchange: Exchange): RequestCauses {
  let causes = known.get(exchange)
  if (causes === undefined) {
    causes = { request: digestOf(exchange), account: exchange.account?.name ?? '', levels: levelIdsOf(exchange) }
    known.set(exchange, causes)
  }
  return causes
}

/** Ids of the levels that other requests may share. */
export function levelIdsOf (exchange: Pick<Exchange, 'prompt'>): string[] {
  return sharedLevelsOf(exchange).map(({ id }) => id.length <= MAX_ID_LENGTH ? id : shorten(createHash('sha1').update(id)))
}

/** The prompt belongs to it: requests with the same body, or none, may ask for different things. */
function digestOf ({ method, path, account, body, prompt }: Exchange): string {
  const levels = prompt?.levels.map(({ id }) => id).join() ?? ''
  return shorten(createHash('sha1').update(`${method} ${path}\n${account?.name ?? ''}\n${prompt?.model ?? ''} ${levels}\n`).update(body))
}

function shorten (hash: ReturnType<typeof createHash>): string {
  return hash.digest('hex').slice(0, DIGEST_DIGITS)
}
