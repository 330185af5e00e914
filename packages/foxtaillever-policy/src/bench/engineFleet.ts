/**
 * Simulates a fleet of instances and engines in steps of a millisecond, to
 * measure how long callers wait for their first token, depending on how instances
 * learn of each other's load. Engines prefill one prompt after another, cache
 * levels until newer ones evict them, and fetch missing levels from the store.
 */
import { exponential, SeededRandom } from 'foxtaillever-core'
import { homeOf } from '../relay/levelHome.js'
import { rankCandidates, type ServerCandidate } from '../relay/placeExchange.js'
import { decayLoad, noLoad, type ServerLoad } from '../relay/serverLoad.js'
import { homeWeight } from '../relay/serverSpeed.js'
import { shouldYield } from '../relay/yieldPriority.js'
import { FleetSpeeds } from './fleetSpeeds.js'
import { LoadKnowledge, type FleetOutcome, type FleetShape } from './fleetShape.js'
import { createCandidate, evictOldest, MEMORY_TOKENS, quantile, sortedWaits, sumHeldTokens, sumLoads, TOKENS_PER_MS, type Engine, type Request } from './simulatedEngine.js'

const DURATION_MS = 8_000
/** Time to fetch a large request's shared level, milliseconds. */
const FETCH_MS = 27
/** A fetch that would wait longer for the link is not started. */
const MAX_LINK_WAIT_MS = 320
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
  private readonly speeds: FleetSpeeds | undefined
  private linkFreeAt = 0
  private repeatedReads = 0
  private now = 0

  private constructor (private readonly shape: FleetShape) {
    const { instances, engines, seed, speedFactors = [1] } = shape
    this.random = SeededRandom.create(seed)
    this.engines = Array.from({ length: engines }, (_, index) => ({
      candidate: createCandidate(index), queue: [], running: [], cachedLevels: new Map(), startedCount: 0, waitsMs: [], tokensPerMs: this.tokensPerMs * (speedFactors[index % speedFactors.length] ?? 1)
    }))
    this.speeds = shape.speedFactors && FleetSpeeds.create(instances, shape.isSpeedKnown === true)
    this.queriedLoads = Array.from({ length: instances }, () => new Map())
    this.heartbeatLoads = Array.from({ length: instances }, () => new Map())
  }

  /** Simulates eight seconds of steady load, after the warm-up. */
  static simulate (shape: FleetShape): FleetOutcome {
    const fleet = new EngineFleet(shape)
    const { warmUpMs = 0 } = shape
    let nextAt = 0
    for (; fleet.now < warmUpMs + DURATION_MS; fleet.now += 1) {
      if (fleet.now === warmUpMs) {
        fleet.resetOutcome()
      }
      while (nextAt <= fleet.now) {
        fleet.addRequest()
        nextAt += exponential(fleet.random, 1000 / shape.rate)
      }
      fleet.sendHeartbeats()
      fleet.engines.forEach(engine => fleet.stepEngine(engine))
    }
    return fleet.computeOutcome()
  }

  private resetOutcome (): void {
    this.repeatedReads = 0
    this.engines.forEach(engine => {
      engine.waitsMs.length = 0
      engine.startedCount = 0
    })
  }

  private addRequest (): void {
    const { engines, instances } = this.shape
    const kind = this.random.next() < LARGE.share ? LARGE : SHORT
    const key = Math.imul(1 + this.random.below(LEVELS_PER_ENGINE * engines), 7919) + kind.own
    const instance = this.random.below(instances)
    const engine = this.placeRequest(instance, key, kind)
    const { cachedLevels, queue } = this.engines[engine] as Engine
    const isFetched = !cachedLevels.has(key) && this.linkFreeAt < this.now + MAX_LINK_WAIT_MS
    if (isFetched) {
      this.linkFreeAt = Math.max(this.now, this.linkFreeAt) + kind.shared / this.shape.linkRate
    }
    const isPrefilled = !cachedLevels.has(key) && !isFetched
    this.repeatedReads += isPrefilled ? 1 : 0
    const tokensLeft = kind.own + (isPrefilled ? kind.shared : 0)
    const offer = this.offerOf(engine, instance)
    const tokensToRead = offer.waitingTokens + tokensLeft
    queue.push({
      key, own: kind.own, shared: kind.shared, runMs: kind.runMs, at: this.now, instance, engine, readyAt: isFetched ? this.linkFreeAt : this.now, isYielding: this.shouldYield(offer, tokensLeft), hasBegun: false, tokensLeft, tokensToRead, endAt: Infinity
    })
  }

  private shouldYield ({ waitingTokens, tokensPerMs }: ServerCandidate, tokensLeft: number): boolean {
    const waitMs = waitingTokens / tokensPerMs
    return this.shape.isYielding === true && shouldYield({ elapsedMs: 0, waitMs, readMs: tokensLeft / tokensPerMs, objectiveMs: OBJECTIVE_MS })
  }

  private get tokensPerMs (): number {
    return this.shape.tokensPerMs ?? TOKENS_PER_MS
  }

  private placeRequest (instance: number, key: number, { own, shared }: typeof LARGE): number {
    const { knowledge, isLinkCharged, loss, speedFactors } = this.shape
    const all = this.engines.map((_, index) => index)
    const home = this.homeOf(key)
    const need = { promptKey: key, homeHash: home.hash, promptTokens: own + shared, sharedTokens: 0, outputTokens: 0, fetchMs: FETCH_MS, objectiveMs: OBJECTIVE_MS, workMs: 0, fetchWaitMs: isLinkCharged ? Math.max(0, this.linkFreeAt - this.now) : 0, failureDomain: `${instance % 3}` }
    // Speeds matter for the tokens to read of the prompt itself, which the candidates have only in an uneven fleet.
    const missingTokens = speedFactors ? own : 0
    const rank = (engines: readonly number[]): number[] => rankCandidates(engines.map(engine => ({ ...this.offerOf(engine, instance), missingTokens })), need, this.random).map(({ id }) => Number(id))
    const ranked = rank(all)
    if (knowledge !== LoadKnowledge.Queried) {
      return ranked[0] as number
    }
    // In an uneven fleet a request goes to a queried engine, the home included, as in the relay.
    const queried = speedFactors ? [...new Set([...ranked.slice(0, 2), Number(home.id)])] : ranked.slice(0, 2)
    queried.filter(() => this.random.next() >= loss * 2).forEach(engine => this.queryLoad(instance, engine))
    return rank(speedFactors ? queried : all)[0] as number
  }

  private homeOf (key: number): ServerCandidate {
    const places = this.engines.map(({ candidate }, index) => ({ ...candidate, weight: this.weightOf(index) }))
    return homeOf(key, places) as ServerCandidate
  }

  private weightOf (engine: number): number {
    return homeWeight(this.speeds?.speedOf(engine).weightStep ?? 0)
  }

  private queryLoad (instance: number, engine: number): void {
    this.queriedLoads[instance]?.set(engine, { ...this.loadOf(engine, request => request.instance !== instance), at: this.now })
  }

  private offerOf (engine: number, instance: number): ServerCandidate {
    const own = this.loadOf(engine, request => request.instance === instance)
    const others = this.othersLoad(engine, instance)
    const { candidate } = this.engines[engine] as Engine
    const tokensPerMs = this.speeds?.tokensPerMsAt(engine, instance) ?? this.tokensPerMs
    return { ...candidate, tokensPerMs, weight: this.weightOf(engine), outstanding: own.outstanding + others.outstanding, waitingTokens: own.tokens + others.tokens, heldTokens: own.heldTokens + others.heldTokens }
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
        this.speeds?.receiveHeartbeat(sender, receiver)
        if (knowledge === LoadKnowledge.Heartbeats) {
          this.heartbeatLoads[receiver]?.set(sender, report)
        } else if (knowledge === LoadKnowledge.Queried && sender < engines) {
          this.queryLoad(receiver, sender)
        }
      }
    }
  }

  private addSpeedSample ({ instance, engine, tokensToRead, at, isYielding }: Request): void {
    if (!isYielding) {
      this.speeds?.addSample({ instance, engine, tokensToRead, waitMs: this.now - at })
    }
  }

  private stepEngine (engine: Engine): void {
    const { queue, running, cachedLevels } = engine
    for (let index = running.length - 1; index >= 0; index -= 1) {
      if ((running[index] as Request).endAt <= this.now) {
        running.splice(index, 1)
      }
    }
    let left = engine.tokensPerMs
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
      engine.waitsMs.push(this.now - first.at)
      this.addSpeedSample(first)
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
    const sorted = sortedWaits(this.engines)
    const slowest = [...this.engines].sort((a, b) => a.tokensPerMs - b.tokensPerMs).slice(0, Math.ceil(this.engines.length / 3))
    const startedCounts = this.engines.map(engine => engine.startedCount)
    const unanswered = this.engines.reduce((count, { queue }) => count + queue.length, 0)
    return {
      p50: quantile(sorted, 0.5),
      p95: quantile(sorted, 0.95),
      slowestP95: quantile(sortedWaits(slowest), 0.95),
      p99: quantile(sorted, 0.99),
      lateShare: (sorted.filter(wait => wait > OBJECTIVE_MS).length + unanswered) / (sorted.length + unanswered),
      goodput: sorted.filter(wait => wait <= OBJECTIVE_MS).length * 1000 / DURATION_MS,
      repeatedShare: this.repeatedReads / sorted.length,
      spread: Math.max(...startedCounts) * startedCounts.length / sorted.length
    }
  }
}
