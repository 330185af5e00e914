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

/** Servers with what ranking reads of each, side by side in memory. */
export class Ranked {
  private readonly hashes: Uint32Array
  private readonly mostWeight: number

  private constructor (readonly servers: readonly Server[]) {
    this.hashes = Uint32Array.from(servers, ({ hash }) => hash)
    this.mostWeight = servers.reduce((most, { homeWeight }) => Math.max(most, homeWeight), 0)
  }

  static create (servers: readonly Server[]): Ranked {
    return new Ranked(servers)
  }

  /**
   * The first servers for the key, best first, without sorting all of them. A
   * draw that cannot reach the last score, whatever the weight, needs no
   * logarithm; with 700 servers that spares nine in ten.
   */
  first (keyHash: number, length: number): Server[] {
    const ranked: Server[] = []
    const scores: number[] = []
    let leastDraw = 0
    for (let index = 0; index < this.hashes.length; index += 1) {
      const draw = mixHashes(keyHash, this.hashes[index] as number)
      if (draw < leastDraw) {
        continue
      }
      const server = this.servers[index] as Server
      const score = scoreOf(draw, server.homeWeight)
      if (ranked.length < length || score > (scores[length - 1] as number)) {
        insert(server, score, ranked, scores, length)
        leastDraw = ranked.length < length ? 0 : this.drawFor(scores[length - 1] as number)
      }
    }
    return ranked
  }

  /** The least draw that reaches the score with the highest weight. */
  private drawFor (score: number): number {
    return Math.floor(Math.exp(-this.mostWeight / score) * RANGE) - 1
  }
}

/** The higher, the more the key belongs to the server; weighted by its slots and emptiness. */
function scoreOf (draw: number, weight: number): number {
  return -weight / Math.log((draw + 0.5) / RANGE)
}

/** The first servers for the key among a few. */
export function rankServers (keyHash: number, servers: readonly Server[], length: number): readonly Server[] {
  return servers.length <= 1 ? servers : Ranked.create(servers).first(keyHash, length)
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
