/**
 * Measures how much cache events improve placement: a model of workers and daemons
 * runs from the same seed with four levels of knowledge. It models only what
 * influences the result: caches that evict, loads that are known late, hot prefixes
 * that change, and workers that restart.
 */
import { exponential, hashNumber, SeededRandom } from 'foxtaillever-core'
import { homesOf, type Named } from 'foxtaillever-fleet'
import { computeQuantiles } from '../report/quantiles.js'
import { KnowledgeKind, knowledgeFactories, type PlacementKnowledge } from './placementKnowledge.js'
import { ModelWorker } from './modelWorker.js'

export interface Scale {
  readonly title: string
  readonly daemons: number
  readonly workers: number
  readonly requestsPerSecond: number
  readonly prefixes: number
}

export interface PlacementResult {
  readonly kind: KnowledgeKind
  /** Cached tokens as a share of all prompt tokens. */
  readonly hitRate: number
  /** Time to first token, milliseconds. */
  readonly p50: number
  readonly p99: number
}

const SECONDS = 45
const SECOND_MS = 1000
/** Interval at which the hot prefixes change, milliseconds. */
const POPULARITY_SHIFT_MS = 15_000
/** Interval at which one worker restarts, milliseconds. */
const RESTART_MS = 5000
/** Interval of load reports, so a daemon's loads are at most this old, milliseconds. */
const LOAD_PERIOD_MS = 1000
/** Homes of a prefix that is not hot. */
const MIN_HOMES = 2
/** Share of a home's time that one prefix's cached requests may take; beyond it the home set grows. */
const HOME_SHARE = 0.3
/** Largest random part of a cost, milliseconds. Without it all daemons choose the same worker from the same outdated load. */
const MAX_NOISE_MS = 30
const PREFIX_TOKENS = 4000
const QUESTION_TOKENS = 200
/** Exponent of the popularity of prefixes. */
const SKEW = 1.1

class Popularity {
  private readonly cumulativeWeights: number[] = []

  private constructor (private readonly count: number) {}

  static create (count: number): Popularity {
    const popularity = new Popularity(count)
    let sum = 0
    for (let rank = 1; rank <= count; rank += 1) {
      sum += rank ** -SKEW
      popularity.cumulativeWeights.push(sum)
    }
    return popularity
  }

  /** Draws the prefix of a request; the shift determines which prefixes are hot. */
  drawPrefix (random: SeededRandom, shift: number): number {
    const point = random.next() * this.cumulativeWeights.at(-1)!
    const rank = this.cumulativeWeights.findIndex(sum => sum >= point)
    return (rank + hashNumber(`shift-${shift}`)) % this.count
  }
}

class PlacementModel {
  private readonly random: SeededRandom
  private readonly workers: readonly ModelWorker[]
  private readonly named: readonly Named[]
  private readonly homes = new Map<string, readonly number[]>()
  private requestCounts = new Map<number, number>()
  private lastRequestCounts = new Map<number, number>()
  private readonly popularity: Popularity
  private readonly firstTokens: number[] = []
  private cachedTokens = 0
  private promptTokens = 0

  private constructor (private readonly scale: Scale, private readonly knowledge: PlacementKnowledge, seed: number) {
    this.random = SeededRandom.create(seed)
    this.workers = Array.from({ length: scale.workers }, () => ModelWorker.create())
    this.named = this.workers.map((_, index) => ({ name: `${index}` }))
    this.popularity = Popularity.create(scale.prefixes)
  }

  static run (scale: Scale, kind: KnowledgeKind, seed: number): PlacementResult {
    const model = new PlacementModel(scale, knowledgeFactories[kind](scale.daemons), seed)
    model.run()
    const { p50, p99 } = computeQuantiles(model.firstTokens)
    return { kind, hitRate: model.cachedTokens / model.promptTokens, p50, p99 }
  }

  private run (): void {
    let now = 0
    let reportAt = 0
    let restartAt = RESTART_MS
    while (now < SECONDS * SECOND_MS) {
      now += exponential(this.random, SECOND_MS / this.scale.requestsPerSecond)
      if (now >= reportAt) {
        this.workers.forEach(worker => worker.reportLoad())
        this.knowledge.applyReports(this.workers, now)
        this.lastRequestCounts = this.requestCounts
        this.requestCounts = new Map()
        reportAt = now + LOAD_PERIOD_MS
      }
      if (now >= restartAt) {
        this.workers[this.random.below(this.workers.length)]!.restart()
        restartAt = now + RESTART_MS
      }
      this.serveRequest(now)
    }
  }

  private serveRequest (now: number): void {
    const daemon = this.random.below(this.scale.daemons)
    const prefix = this.popularity.drawPrefix(this.random, Math.floor(now / POPULARITY_SHIFT_MS))
    this.requestCounts.set(prefix, (this.requestCounts.get(prefix) ?? 0) + 1)
    const candidates = this.knowledge.candidates(this.findHomes(prefix), prefix)
    const costs = candidates.map(index => this.estimateCost(daemon, index, prefix, now))
    const index = candidates[costs.indexOf(Math.min(...costs))]!
    const { cached, firstTokenAt } = this.workers[index]!.run(prefix, PREFIX_TOKENS, QUESTION_TOKENS, now)
    this.knowledge.recordUsage(daemon, index, prefix, cached > 0, now)
    this.cachedTokens += cached
    this.promptTokens += PREFIX_TOKENS + QUESTION_TOKENS
    this.firstTokens.push(firstTokenAt - now)
  }

  /** Estimates the time to first token, with noise so that daemons do not all choose the same worker. */
  private estimateCost (daemon: number, index: number, prefix: number, now: number): number {
    const worker = this.workers[index]!
    const uncached = this.knowledge.isCached(daemon, index, prefix, now) ? 0 : worker.prefillMs(PREFIX_TOKENS)
    return worker.reportedWait(now) + uncached + MAX_NOISE_MS * this.random.next()
  }

  /** Counts the homes that the prefix's requests of the last second need if it is cached there. */
  private countHomes (prefix: number): number {
    const busyMs = (this.lastRequestCounts.get(prefix) ?? 0) * this.workers[0]!.prefillMs(QUESTION_TOKENS)
    return Math.max(MIN_HOMES, Math.ceil(busyMs / (LOAD_PERIOD_MS * HOME_SHARE)))
  }

  private findHomes (prefix: number): readonly number[] {
    const count = this.countHomes(prefix)
    const key = `${prefix}/${count}`
    const existing = this.homes.get(key)
    if (existing) {
      return existing
    }
    const homes = homesOf(`prefix-${prefix}`, this.named, count).map(({ name }) => Number(name))
    this.homes.set(key, homes)
    return homes
  }
}

export function comparePlacements (scale: Scale, seed: number): readonly PlacementResult[] {
  return Object.values(KnowledgeKind).map(kind => PlacementModel.run(scale, kind, seed))
}
