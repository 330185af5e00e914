/**
 * Weighted rendezvous hashing over precomputed hashes.
 *
 * Every instance ranks the servers for a key in the same order without
 * communication, and adding or removing a server moves only the keys of that
 * server. Otherwise each instance would warm its own copy of a prefix: with 380
 * instances, each of 670 caches would have to hold every prefix, and none has
 * the space.
 */
import type { Server } from '../servers/server.js'

const RANGE = 2 ** 32

/** Mixes two 32-bit hashes into one, by the finalizer of MurmurHash3. */
export function mixHashes (a: number, b: number): number {
  let hash = (a ^ Math.imul(b, 0x9e3779b1)) >>> 0
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** Ranks servers for keys; keeps the servers' hashes in one array for speed. */
export class ServerRanker {
  private readonly hashes: Uint32Array
  private readonly maxWeight: number

  private constructor (readonly servers: readonly Server[]) {
    this.hashes = Uint32Array.from(servers, ({ hash }) => hash)
    this.maxWeight = servers.reduce((most, { homeWeight }) => Math.max(most, homeWeight), 0)
  }

  static create (servers: readonly Server[]): ServerRanker {
    return new ServerRanker(servers)
  }

  /**
   * Returns the highest ranked servers for the key, best first, without sorting
   * all servers. A draw that cannot reach the lowest kept score even with the
   * highest weight needs no logarithm; with 700 servers that saves nine in ten.
   */
  rank (keyHash: number, length: number): Server[] {
    const ranked: Server[] = []
    const scores: number[] = []
    let minDraw = 0
    for (let index = 0; index < this.hashes.length; index += 1) {
      const draw = mixHashes(keyHash, this.hashes[index] as number)
      if (draw < minDraw) {
        continue
      }
      const server = this.servers[index] as Server
      const score = scoreDraw(draw, server.homeWeight)
      if (ranked.length < length || score > (scores[length - 1] as number)) {
        insert(server, score, ranked, scores, length)
        minDraw = ranked.length < length ? 0 : this.minDrawForScore(scores[length - 1] as number)
      }
    }
    return ranked
  }

  /** The lowest draw that reaches the score with the highest weight. */
  private minDrawForScore (score: number): number {
    return Math.floor(Math.exp(-this.maxWeight / score) * RANGE) - 1
  }
}

/** Score of a server for a key, weighted by the server's slots and how empty it is; the highest scores are homes. */
function scoreDraw (draw: number, weight: number): number {
  return -weight / Math.log((draw + 0.5) / RANGE)
}

/** The highest ranked of a few servers for the key. */
export function rankServers (keyHash: number, servers: readonly Server[], length: number): readonly Server[] {
  return servers.length <= 1 ? servers : ServerRanker.create(servers).rank(keyHash, length)
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
