/**
 * A fleet of instances before engines, in steps of a millisecond: what callers
 * wait for their first token by how instances learn of each other's load.
 * Engines read one prompt after another, keep what they read until it yields to
 * newer prompts, and fetch what they lack.
 */
import { exponential, SeededRandom } from 'foxtaillever-core'
import { mixHashes } from '../placement/rendezvous.js'
import { rankCandidates, type ServerCandidate } from '../relay/placeExchange.js'
import { decayLoad, noLoad, type ServerLoad } from '../relay/serverLoad.js'
import { shouldYield } from '../relay/yieldPriority.js'
import { Knowledge, type FleetOutcome, type FleetShape } from './fleetShape.js'

interface Request {
  readonly key: number
  readonly own: number
  readonly shared: number
  readonly runMs: number
  readonly at: number
  readonly instance: number
  readonly engine: number
  /** When its shared level is there. */
  readonly readyAt: number
  readonly isYielding: boolean
  hasBegun: boolean
  unread: number
  endAt: number
}

interface Engine {
  readonly offer: ServerCandidate
  readonly queue: Request[]
  readonly running: Request[]
  /** Kept levels, the least recently used first. */
  readonly kept: Map<number, number>
  begun: number
}

const MS = 8_000
const TOKENS_PER_MS = 110
/** Moving a large request's shared level, milliseconds. */
const FETCH_MS = 27
/** A fetch that would wait longer is not begun. */
const MOST_LINK_MS = 320
const MEMORY = 71_780
const BEAT_MS = 1000
const OBJECTIVE_MS = 400
const RECEIVERS = 24
const LEVELS_PER_ENGINE = 22

/** Large prompts and short ones, in the parts in which one deployment gets them. */
const LARGE = { share: 0.59, own: 2890, shared: 3780, runMs: 90 }
const SHORT = { share: 0.41, own: 628, shared: 198, runMs: 500 }

export class EngineFleet {
  private readonly random: SeededRandom
  private readonly engines: Engine[]
  /** What each instance heard: sums of beats, or the last word of a watcher. */
  private readonly heard: Array<Map<number, ServerLoad & { readonly at: number }>>
  private readonly words: Array<Map<number, ReadonlyMap<number, ServerLoad>>>
  private readonly waits: number[] = []
  private linkFreeAt = 0
  private readAgain = 0
  private now = 0

  private constructor (private readonly shape: FleetShape) {
    const { instances, engines, seed } = shape
    this.random = SeededRandom.create(seed)
    this.engines = Array.from({ length: engines }, (_, index) => ({ offer: createOffer(index), queue: [], running: [], kept: new Map(), begun: 0 }))
    this.heard = Array.from({ length: instances }, () => new Map())
    this.words = Array.from({ length: instances }, () => new Map())
  }

  /** Plays eight seconds of steady load. */
  static play (shape: FleetShape): FleetOutcome {
    const fleet = new EngineFleet(shape)
    let nextAt = 0
    for (; fleet.now < MS; fleet.now += 1) {
      while (nextAt <= fleet.now) {
        fleet.arrive()
        nextAt += exponential(fleet.random, 1000 / shape.rate)
      }
      fleet.beat()
      fleet.engines.forEach(engine => fleet.step(engine))
    }
    return fleet.outcome()
  }

  private arrive (): void {
    const { engines, instances } = this.shape
    const kind = this.random.next() < LARGE.share ? LARGE : SHORT
    const key = Math.imul(1 + this.random.below(LEVELS_PER_ENGINE * engines), 7919) + kind.own
    const instance = this.random.below(instances)
    const engine = this.place(instance, key, kind.own + kind.shared)
    const { kept, queue } = this.engines[engine] as Engine
    const isFetched = !kept.has(key) && this.linkFreeAt < this.now + MOST_LINK_MS
    if (isFetched) {
      this.linkFreeAt = Math.max(this.now, this.linkFreeAt) + kind.shared / this.shape.linkRate
    }
    const isRead = !kept.has(key) && !isFetched
    this.readAgain += isRead ? 1 : 0
    const unread = kind.own + (isRead ? kind.shared : 0)
    queue.push({
      key, own: kind.own, shared: kind.shared, runMs: kind.runMs, at: this.now, instance, engine, readyAt: isFetched ? this.linkFreeAt : this.now, isYielding: this.isToYield(instance, engine, unread), hasBegun: false, unread, endAt: Infinity
    })
  }

  private isToYield (instance: number, engine: number, unread: number): boolean {
    const { waitingTokens } = this.offerOf(engine, instance)
    const waitMs = waitingTokens / this.tokensPerMs
    return this.shape.isYielding === true && shouldYield({ elapsedMs: 0, waitMs, readMs: unread / this.tokensPerMs, objectiveMs: OBJECTIVE_MS })
  }

  private get tokensPerMs (): number {
    return this.shape.tokensPerMs ?? TOKENS_PER_MS
  }

  private place (instance: number, key: number, promptTokens: number): number {
    const pace = { tokensPerMs: this.tokensPerMs, fetchMs: FETCH_MS }
    const need = { promptKey: key, promptTokens, sharedTokens: 0, outputTokens: 0, pace, objectiveMs: OBJECTIVE_MS, workMs: 0, fetchWaitMs: this.shape.isLinkCharged ? Math.max(0, this.linkFreeAt - this.now) : 0, failureDomain: `${instance % 3}` }
    const rank = (): readonly ServerCandidate[] => rankCandidates(this.engines.map((_, index) => this.offerOf(index, instance)), need, this.random)
    if (this.shape.knowledge === Knowledge.Asked) {
      rank().slice(0, 2).filter(() => this.random.next() >= this.shape.loss * 2).forEach(({ id }) => this.ask(instance, Number(id)))
    }
    return Number(rank()[0]?.id)
  }

  private ask (instance: number, engine: number): void {
    this.heard[instance]?.set(engine, { ...this.loadOf(engine, request => request.instance !== instance), at: this.now })
  }

  private offerOf (engine: number, instance: number): ServerCandidate {
    const own = this.loadOf(engine, request => request.instance === instance)
    const others = this.othersLoad(engine, instance)
    const { offer } = this.engines[engine] as Engine
    return { ...offer, outstanding: own.outstanding + others.outstanding, waitingTokens: own.tokens + others.tokens, heldTokens: own.heldTokens + others.heldTokens }
  }

  private othersLoad (engine: number, instance: number): ServerLoad {
    if (this.shape.knowledge === Knowledge.Asked) {
      const word = this.heard[instance]?.get(engine)
      return word === undefined ? noLoad : decayLoad(word, this.now - word.at)
    }
    return sum([...this.words[instance]?.values() ?? []].map(word => word.get(engine) ?? noLoad))
  }

  private loadOf (engine: number, counts: (request: Request) => boolean): ServerLoad {
    const { queue, running } = this.engines[engine] as Engine
    return sum([...queue, ...running].filter(counts).map(({ own, shared, unread, isYielding }) => ({ outstanding: 1, tokens: isYielding ? 0 : unread, heldTokens: own + shared })))
  }

  /** Each instance in its own millisecond of the period. */
  private beat (): void {
    const { instances, knowledge, loss, engines } = this.shape
    for (let teller = 0; teller < instances; teller += 1) {
      if (this.now % BEAT_MS !== Math.floor(teller * BEAT_MS / instances)) {
        continue
      }
      const word = new Map(Array.from({ length: engines }, (_, engine) => [engine, this.loadOf(engine, request => request.instance === teller)]))
      for (let sent = 0; sent < Math.min(RECEIVERS, instances - 1); sent += 1) {
        const hearer = this.random.below(instances)
        if (this.random.next() < loss || hearer === teller) {
          continue
        }
        if (knowledge === Knowledge.Beats) {
          this.words[hearer]?.set(teller, word)
        } else if (knowledge === Knowledge.Asked && teller < engines) {
          this.ask(hearer, teller)
        }
      }
    }
  }

  private step (engine: Engine): void {
    const { queue, running, kept } = engine
    for (let index = running.length - 1; index >= 0; index -= 1) {
      if ((running[index] as Request).endAt <= this.now) {
        running.splice(index, 1)
      }
    }
    let left = this.tokensPerMs
    for (;;) {
      const place = this.nextIn(queue)
      const first = queue[place]
      if (left <= 0 || first === undefined || !this.hasRoom(engine, first)) {
        return
      }
      const read = Math.min(left, first.unread)
      first.unread -= read
      first.hasBegun = true
      left -= read
      if (first.unread > 0) {
        return
      }
      queue.splice(place, 1)
      first.endAt = this.now + first.runMs
      running.push(first)
      engine.begun += 1
      this.waits.push(this.now - first.at)
      kept.delete(first.key)
      kept.set(first.key, first.shared)
      dropOldest(kept, MEMORY - held(running))
    }
  }

  /** The one being read goes on; of the others those that yield come last. */
  private nextIn (queue: readonly Request[]): number {
    const isReady = ({ readyAt }: Request): boolean => readyAt <= this.now
    const rank = (request: Request): number => request.hasBegun ? 0 : request.isYielding ? 2 : 1
    const ready = queue.filter(isReady)
    const first = ready.reduce((best, request) => Math.min(best, rank(request)), Infinity)
    return queue.findIndex(request => isReady(request) && rank(request) === first)
  }

  private hasRoom ({ running, offer }: Engine, { own, shared }: Request): boolean {
    return running.length < offer.slots && held(running) + own + shared <= MEMORY
  }

  private outcome (): FleetOutcome {
    const sorted = [...this.waits].sort((one, other) => one - other)
    const at = (part: number): number => sorted[Math.floor(part * (sorted.length - 1))] ?? 0
    const begun = this.engines.map(engine => engine.begun)
    const unanswered = this.engines.reduce((count, { queue }) => count + queue.length, 0)
    return {
      p50: at(0.5),
      p99: at(0.99),
      lateShare: (sorted.filter(wait => wait > OBJECTIVE_MS).length + unanswered) / (sorted.length + unanswered),
      goodput: sorted.filter(wait => wait <= OBJECTIVE_MS).length * 1000 / MS,
      againShare: this.readAgain / sorted.length,
      spread: Math.max(...begun) * begun.length / sorted.length
    }
  }
}

function createOffer (index: number): ServerCandidate {
  return {
    id: String(index),
    hash: mixHashes(index + 1, 77),
    failureDomain: `${index % 3}`,
    slots: 32,
    outstanding: 0,
    waitingTokens: 0,
    missingTokens: 0,
    heldTokens: 0,
    memoryTokens: MEMORY,
    isRefusing: false,
    isUnreachable: false,
    faultCostMs: 0,
    isChanging: false,
    isOutdated: false,
    coldLeftMs: 0
  }
}

function sum (loads: readonly ServerLoad[]): ServerLoad {
  let { outstanding, tokens, heldTokens } = noLoad
  for (const load of loads) {
    outstanding += load.outstanding
    tokens += load.tokens
    heldTokens += load.heldTokens
  }
  return { outstanding, tokens, heldTokens }
}

function held (running: readonly Request[]): number {
  return running.reduce((tokens, { own, shared }) => tokens + own + shared, 0)
}

function dropOldest (kept: Map<number, number>, room: number): void {
  let tokens = [...kept.values()].reduce((total, size) => total + size, 0)
  for (const [key, size] of kept) {
    if (tokens <= room) {
      return
    }
    kept.delete(key)
    tokens -= size
  }
}
