/**
 * Simulates a fleet of instances and engines in steps of a millisecond, to
 * measure how long callers wait for their first token, depending on how instances
 * learn of each other's load. Engines prefill one prompt after another, cache
 * levels until newer ones evict them, and fetch missing levels from the store.
 */
import { exponential, SeededRandom } from 'foxtaillever-core'
import { mixHashes } from '../placement/rendezvous.js'
import { rankCandidates, type ServerCandidate } from '../relay/placeExchange.js'
import { decayLoad, noLoad, type ServerLoad } from '../relay/serverLoad.js'
import { shouldYield } from '../relay/yieldPriority.js'
import { LoadKnowledge, type FleetOutcome, type FleetShape } from './fleetShape.js'

interface Request {
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
  hasBegun: boolean
  tokensLeft: number
  endAt: number
}

interface Engine {
  readonly candidate: ServerCandidate
  readonly queue: Request[]
  readonly running: Request[]
  /** Cached levels, the least recently used first. */
  readonly cachedLevels: Map<number, number>
  startedCount: number
}

const DURATION_MS = 8_000
const TOKENS_PER_MS = 110
/** Time to fetch a large request's shared level, milliseconds. */
const FETCH_MS = 27
/** A fetch that would wait longer for the link is not started. */
const MAX_LINK_WAIT_MS = 320
const MEMORY_TOKENS = 71_780
const HEARTBEAT_MS = 1000
const OBJECTIVE_MS = 400
const RECEIVERS = 24
const LEVELS_PER_ENGINE = 22

/** Large and short prompts, with their shares in one deployment. */
const LARGE = { share: 0.59, own: 2890, shared: 3780, runMs: 90 }
const SHORT = { share: 0.41, own: 628, shared: 198, runMs: 500 }

export class EngineFleet {
  private readonly random: SeededRandom
  private readonly engines: Engine[]
  /** For each instance, the last queried load of each engine. */
  private readonly queriedLoads: Array<Map<number, ServerLoad & { readonly at: number }>>
  private readonly heartbeatLoads: Array<Map<number, ReadonlyMap<number, ServerLoad>>>
  private readonly waitsMs: number[] = []
  private linkFreeAt = 0
  private repeatedReads = 0
  private now = 0

  private constructor (private readonly shape: FleetShape) {
    const { instances, engines, seed } = shape
    this.random = SeededRandom.create(seed)
    this.engines = Array.from({ length: engines }, (_, index) => ({ candidate: createCandidate(index), queue: [], running: [], cachedLevels: new Map(), startedCount: 0 }))
    this.queriedLoads = Array.from({ length: instances }, () => new Map())
    this.heartbeatLoads = Array.from({ length: instances }, () => new Map())
  }

  /** Simulates eight seconds of steady load. */
  static simulate (shape: FleetShape): FleetOutcome {
    const fleet = new EngineFleet(shape)
    let nextAt = 0
    for (; fleet.now < DURATION_MS; fleet.now += 1) {
      while (nextAt <= fleet.now) {
        fleet.addRequest()
        nextAt += exponential(fleet.random, 1000 / shape.rate)
      }
      fleet.sendHeartbeats()
      fleet.engines.forEach(engine => fleet.stepEngine(engine))
    }
    return fleet.computeOutcome()
  }

  private addRequest (): void {
    const { engines, instances } = this.shape
    const kind = this.random.next() < LARGE.share ? LARGE : SHORT
    const key = Math.imul(1 + this.random.below(LEVELS_PER_ENGINE * engines), 7919) + kind.own
    const instance = this.random.below(instances)
    const engine = this.placeRequest(instance, key, kind.own + kind.shared)
    const { cachedLevels, queue } = this.engines[engine] as Engine
    const isFetched = !cachedLevels.has(key) && this.linkFreeAt < this.now + MAX_LINK_WAIT_MS
    if (isFetched) {
      this.linkFreeAt = Math.max(this.now, this.linkFreeAt) + kind.shared / this.shape.linkRate
    }
    const isPrefilled = !cachedLevels.has(key) && !isFetched
    this.repeatedReads += isPrefilled ? 1 : 0
    const tokensLeft = kind.own + (isPrefilled ? kind.shared : 0)
    queue.push({
      key, own: kind.own, shared: kind.shared, runMs: kind.runMs, at: this.now, instance, engine, readyAt: isFetched ? this.linkFreeAt : this.now, isYielding: this.shouldYield(instance, engine, tokensLeft), hasBegun: false, tokensLeft, endAt: Infinity
    })
  }

  private shouldYield (instance: number, engine: number, tokensLeft: number): boolean {
    const { waitingTokens } = this.offerOf(engine, instance)
    const waitMs = waitingTokens / this.tokensPerMs
    return this.shape.isYielding === true && shouldYield({ elapsedMs: 0, waitMs, readMs: tokensLeft / this.tokensPerMs, objectiveMs: OBJECTIVE_MS })
  }

  private get tokensPerMs (): number {
    return this.shape.tokensPerMs ?? TOKENS_PER_MS
  }

  private placeRequest (instance: number, key: number, promptTokens: number): number {
    const need = { promptKey: key, promptTokens, sharedTokens: 0, outputTokens: 0, fetchMs: FETCH_MS, objectiveMs: OBJECTIVE_MS, workMs: 0, fetchWaitMs: this.shape.isLinkCharged ? Math.max(0, this.linkFreeAt - this.now) : 0, failureDomain: `${instance % 3}` }
    const rank = (): readonly ServerCandidate[] => rankCandidates(this.engines.map((_, index) => this.offerOf(index, instance)), need, this.random)
    if (this.shape.knowledge === LoadKnowledge.Queried) {
      rank().slice(0, 2).filter(() => this.random.next() >= this.shape.loss * 2).forEach(({ id }) => this.queryLoad(instance, Number(id)))
    }
    return Number(rank()[0]?.id)
  }

  private queryLoad (instance: number, engine: number): void {
    this.queriedLoads[instance]?.set(engine, { ...this.loadOf(engine, request => request.instance !== instance), at: this.now })
  }

  private offerOf (engine: number, instance: number): ServerCandidate {
    const own = this.loadOf(engine, request => request.instance === instance)
    const others = this.othersLoad(engine, instance)
    const { candidate } = this.engines[engine] as Engine
    return { ...candidate, tokensPerMs: this.tokensPerMs, outstanding: own.outstanding + others.outstanding, waitingTokens: own.tokens + others.tokens, heldTokens: own.heldTokens + others.heldTokens }
  }

  private othersLoad (engine: number, instance: number): ServerLoad {
    if (this.shape.knowledge === LoadKnowledge.Queried) {
      const load = this.queriedLoads[instance]?.get(engine)
      return load === undefined ? noLoad : decayLoad(load, this.now - load.at)
    }
    return sumLoads([...this.heartbeatLoads[instance]?.values() ?? []].map(loads => loads.get(engine) ?? noLoad))
  }

  private loadOf (engine: number, matches: (request: Request) => boolean): ServerLoad {
    const { queue, running } = this.engines[engine] as Engine
    return sumLoads([...queue, ...running].filter(matches).map(({ own, shared, tokensLeft, isYielding }) => ({ outstanding: 1, tokens: isYielding ? 0 : tokensLeft, heldTokens: own + shared })))
  }

  /** Each instance sends its heartbeats in its own millisecond of the period. */
  private sendHeartbeats (): void {
    const { instances, knowledge, loss, engines } = this.shape
    for (let sender = 0; sender < instances; sender += 1) {
      if (this.now % HEARTBEAT_MS !== Math.floor(sender * HEARTBEAT_MS / instances)) {
        continue
      }
      const report = new Map(Array.from({ length: engines }, (_, engine) => [engine, this.loadOf(engine, request => request.instance === sender)]))
      for (let copy = 0; copy < Math.min(RECEIVERS, instances - 1); copy += 1) {
        const receiver = this.random.below(instances)
        if (this.random.next() < loss || receiver === sender) {
          continue
        }
        if (knowledge === LoadKnowledge.Heartbeats) {
          this.heartbeatLoads[receiver]?.set(sender, report)
        } else if (knowledge === LoadKnowledge.Queried && sender < engines) {
          this.queryLoad(receiver, sender)
        }
      }
    }
  }

  private stepEngine (engine: Engine): void {
    const { queue, running, cachedLevels } = engine
    for (let index = running.length - 1; index >= 0; index -= 1) {
      if ((running[index] as Request).endAt <= this.now) {
        running.splice(index, 1)
      }
    }
    let left = this.tokensPerMs
    for (;;) {
      const place = this.findNext(queue)
      const first = queue[place]
      if (left <= 0 || first === undefined || !this.hasRoom(engine, first)) {
        return
      }
      const read = Math.min(left, first.tokensLeft)
      first.tokensLeft -= read
      first.hasBegun = true
      left -= read
      if (first.tokensLeft > 0) {
        return
      }
      queue.splice(place, 1)
      first.endAt = this.now + first.runMs
      running.push(first)
      engine.startedCount += 1
      this.waitsMs.push(this.now - first.at)
      cachedLevels.delete(first.key)
      cachedLevels.set(first.key, first.shared)
      evictOldest(cachedLevels, MEMORY_TOKENS - sumHeldTokens(running))
    }
  }

  /** The prompt whose prefill has begun continues; of the others, those that yield come last. */
  private findNext (queue: readonly Request[]): number {
    const isReady = ({ readyAt }: Request): boolean => readyAt <= this.now
    const rank = (request: Request): number => request.hasBegun ? 0 : request.isYielding ? 2 : 1
    const ready = queue.filter(isReady)
    const first = ready.reduce((best, request) => Math.min(best, rank(request)), Infinity)
    return queue.findIndex(request => isReady(request) && rank(request) === first)
  }

  private hasRoom ({ running, candidate }: Engine, { own, shared }: Request): boolean {
    return running.length < candidate.slots && sumHeldTokens(running) + own + shared <= MEMORY_TOKENS
  }

  private computeOutcome (): FleetOutcome {
    const sorted = [...this.waitsMs].sort((a, b) => a - b)
    const at = (part: number): number => sorted[Math.floor(part * (sorted.length - 1))] ?? 0
    const startedCounts = this.engines.map(engine => engine.startedCount)
    const unanswered = this.engines.reduce((count, { queue }) => count + queue.length, 0)
    return {
      p50: at(0.5),
      p99: at(0.99),
      lateShare: (sorted.filter(wait => wait > OBJECTIVE_MS).length + unanswered) / (sorted.length + unanswered),
      goodput: sorted.filter(wait => wait <= OBJECTIVE_MS).length * 1000 / DURATION_MS,
      repeatedShare: this.repeatedReads / sorted.length,
      spread: Math.max(...startedCounts) * startedCounts.length / sorted.length
    }
  }
}

function createCandidate (index: number): ServerCandidate {
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
    weight: 1,
    isRefusing: false,
    isUnreachable: false,
    faultCostMs: 0,
    isChanging: false,
    isOutdated: false,
    coldLeftMs: 0
  }
}

function sumLoads (loads: readonly ServerLoad[]): ServerLoad {
  let { outstanding, tokens, heldTokens } = noLoad
  for (const load of loads) {
    outstanding += load.outstanding
    tokens += load.tokens
    heldTokens += load.heldTokens
  }
  return { outstanding, tokens, heldTokens }
}

function sumHeldTokens (running: readonly Request[]): number {
  return running.reduce((tokens, { own, shared }) => tokens + own + shared, 0)
}

function evictOldest (cachedLevels: Map<number, number>, room: number): void {
  let tokens = [...cachedLevels.values()].reduce((total, size) => total + size, 0)
  for (const [key, size] of cachedLevels) {
    if (tokens <= room) {
      return
    }
    cachedLevels.delete(key)
    tokens -= size
  }
}
