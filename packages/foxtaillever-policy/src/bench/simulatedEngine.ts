/** Engines of the simulated fleet: their requests, caches and waits. */
import { mixHashes } from '../placement/rendezvous.js'
import { ordinaryConditions, type ServerCandidate } from '../relay/placeExchange.js'
import { noLoad, type ServerLoad } from '../relay/serverLoad.js'

export const TOKENS_PER_MS = 110
export const MEMORY_TOKENS = 71_780

export interface Request {
  readonly key: number
  readonly own: number
  readonly shared: number
  readonly runMs: number
  readonly at: number
  readonly instance: number
  readonly engine: number
  /** When the shared level is available at the engine. */
  readonly readyAt: number
  readonly isYielding: boolean
  /** Tokens that the engine had to read, as far as the instance knew. */
  readonly tokensToRead: number
  hasBegun: boolean
  tokensLeft: number
  endAt: number
}

export interface Engine {
  readonly candidate: ServerCandidate
  readonly queue: Request[]
  readonly running: Request[]
  /** Cached levels, the least recently used first. */
  readonly cachedLevels: Map<number, number>
  readonly tokensPerMs: number
  readonly waitsMs: number[]
  startedCount: number
}

export function sortedWaits (engines: readonly Engine[]): number[] {
  return engines.flatMap(({ waitsMs }) => waitsMs).sort((a, b) => a - b)
}

export function quantile (sorted: readonly number[], part: number): number {
  return sorted[Math.floor(part * (sorted.length - 1))] ?? 0
}

export function createCandidate (index: number): ServerCandidate {
  return {
    id: String(index),
    hash: mixHashes(index + 1, 77),
    failureDomain: `${index % 3}`,
    slots: 32,
    outstanding: 0,
    waitingTokens: 0,
    missingTokens: 0,
    heldTokens: 0,
    memoryTokens: MEMORY_TOKENS,
    tokensPerMs: TOKENS_PER_MS,
    ...ordinaryConditions
  }
}

export function sumLoads (loads: readonly ServerLoad[]): ServerLoad {
  let { outstanding, tokens, heldTokens } = noLoad
  for (const load of loads) {
    outstanding += load.outstanding
    tokens += load.tokens
    heldTokens += load.heldTokens
  }
  return { outstanding, tokens, heldTokens }
}

export function sumHeldTokens (running: readonly Request[]): number {
  return running.reduce((tokens, { own, shared }) => tokens + own + shared, 0)
}

export function evictOldest (cachedLevels: Map<number, number>, room: number): void {
  let tokens = [...cachedLevels.values()].reduce((total, size) => total + size, 0)
  for (const [key, size] of cachedLevels) {
    if (tokens <= room) {
      return
    }
    cachedLevels.delete(key)
    tokens -= size
  }
}
