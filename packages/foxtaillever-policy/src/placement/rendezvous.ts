/**
 * Weighted rendezvous hashing over hashes made beforehand.
 *
 * Every instance ranks the servers for a key the same way without a word
 * between them, and a server that goes or comes moves only the keys it had or
 * gets. Without such agreement each instance warms its own copy of a prefix:
 * with 380 of them, each of 670 caches would hold everything, that is nothing.
 */
import type { Server } from '../servers/server.js'

const RANGE = 2 ** 32

/** Mixes two 32-bit hashes into one, by the finalizer of MurmurHash3. */
export function mixHashes (one: number, other: number): number {
  let hash = (one ^ Math.imul(other, 0x9e3779b1)) >>> 0
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** The higher, the more the key belongs to the server; weighted by its slots. */
function scoreOf (keyHash: number, server: Server): number {
  const uniform = (mixHashes(keyHash, server.hash) + 0.5) / RANGE
  return -server.configured.slots / Math.log(uniform)
}

/** The first servers for the key, best first, without sorting all of them. */
export function rankServers (keyHash: number, servers: readonly Server[], length: number): Server[] {
  const ranked: Server[] = []
  const scores: number[] = []
  for (const server of servers) {
    const score = scoreOf(keyHash, server)
    if (ranked.length === length && score <= (scores[length - 1] as number)) {
      continue
    }
    insert(server, score, ranked, scores, length)
  }
  return ranked
}

function insert (server: Server, score: number, ranked: Server[], scores: number[], length: number): void {
  let index = ranked.length === length ? length - 1 : ranked.length
  while (index > 0 && (scores[index - 1] as number) < score) {
    ranked[index] = ranked[index - 1] as Server
    scores[index] = scores[index - 1] as number
    index -= 1
  }
  ranked[index] = server
  scores[index] = score
}
