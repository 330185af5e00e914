/**
 * What cache events add to placement: one model of workers and daemons, run
 * from the same seed with four states of knowledge. It holds only what the
 * question needs: caches that evict, loads that are known late, hot prefixes
 * that shift, and workers that restart.
 */
import { exponential, hashNumber, SeededRandom } from 'foxtaillever-core'
import { homesOf, type Named } from 'foxtaillever-fleet'
import { quantilesOf } from '../report/quantiles.js'
import { KnowledgeKind, knowledges, type PlacementKnowledge } from './eventKnowledge.js'
import { ModelWorker } from './modelWorker.js'

export interface Scale {
  readonly title: string
  readonly daemons: number
  readonly workers: number
  readonly requestsPerSecond: number
  readonly prefixes: number
}

export interface EventWorth {
  readonly kind: KnowledgeKind
  /** Cached tokens of all prompt tokens. */
  readonly hitRate: number
  /** Time to first token, milliseconds. */
  readonly p50: number
  readonly p99: number
}

const SECONDS = 45
const SECOND_MS = 1000
/** Hot prefixes shift this often, milliseconds. */
const SHIFT_MS = 15_000
/** One worker restarts this often, milliseconds. */
const RESTART_MS = 5000
/** What a daemon knows of loads is up to this old, milliseconds. */
const LOAD_PERIOD_MS = 1000
/** Homes of a prefix that is not hot. */
const FEWEST_HOMES = 2
/** Share of a home's time that one prefix's cached requests may take; beyond it the home set grows. */
const HOME_SHARE = 0.3
/** Random part of a cost, milliseconds; without it all daemons choose by the same old number alike. */
const NOISE_MS = 30
const PREFIX_TOKENS = 4000
const QUESTION_TOKENS = 200
/** Exponent of the popularity of prefixes. */
const SKEW = 1.1

class Popularity {
  private readonly sums: number[] = []

  private constructor (private readonly count: number) {}

  static create (count: number): Popularity {
    const popularity = new Popularity(count)
    let sum = 0
    for (let rank = 1; rank <= count; rank += 1) {
      sum += rank ** -SKEW
      popularity.sums.push(sum)
    }
    return popularity
  }

  /** The prefix of a request; which ones are hot changes with the shift. */
  draw (random: SeededRandom, shift: number): number {
    const point = random.next() * this.sums.at(-1)!
    const rank = this.sums.findIndex(sum => sum >= point)
    return (rank + hashNumber(`shift-${shift}`)) % this.count
  }
}

class EventModel {
  private readonly random: SeededRandom
  private readonly workers: readonly ModelWorker[]
  private readonly named: readonly Named[]
  private readonly homes = new Map<string, readonly number[]>()
  private heat = new Map<number, number>()
  private lastHeat = new Map<number, number>()
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

  static run (scale: Scale, kind: KnowledgeKind, seed: number): EventWorth {
    const model = new EventModel(scale, knowledges[kind](scale.daemons), seed)
    model.run()
    const { p50, p99 } = quantilesOf(model.firstTokens)
    return { kind, hitRate: model.cachedTokens / model.promptTokens, p50, p99 }
  }

  private run (): void {
    let now = 0
    let reportAt = 0
    let restartAt = RESTART_MS
    while (now < SECONDS * SECOND_MS) {
      now += exponential(this.random, SECOND_MS / this.scale.requestsPerSecond)
      if (now >= reportAt) {
        this.workers.forEach(worker => worker.report())
        this.knowledge.observe(this.workers, now)
        this.lastHeat = this.heat
        this.heat = new Map()
        reportAt = now + LOAD_PERIOD_MS
      }
      if (now >= restartAt) {
        this.workers[this.random.below(this.workers.length)]!.restart()
        restartAt = now + RESTART_MS
      }
      this.serve(now)
    }
  }

  private serve (now: number): void {
    const daemon = this.random.below(this.scale.daemons)
    const prefix = this.popularity.draw(this.random, Math.floor(now / SHIFT_MS))
    this.heat.set(prefix, (this.heat.get(prefix) ?? 0) + 1)
    const candidates = this.knowledge.candidates(this.homesOf(prefix), prefix)
    const costs = candidates.map(index => this.costOf(daemon, index, prefix, now))
    const index = candidates[costs.indexOf(Math.min(...costs))]!
    const { cached, firstTokenAt } = this.workers[index]!.run(prefix, PREFIX_TOKENS, QUESTION_TOKENS, now)
    this.knowledge.learn(daemon, index, prefix, cached > 0, now)
    this.cachedTokens += cached
    this.promptTokens += PREFIX_TOKENS + QUESTION_TOKENS
    this.firstTokens.push(firstTokenAt - now)
  }

  /** Expected time to first token, with noise so that daemons do not all choose alike. */
  private costOf (daemon: number, index: number, prefix: number, now: number): number {
    const worker = this.workers[index]!
    const uncached = this.knowledge.isCached(daemon, index, prefix, now) ? 0 : worker.prefillMs(PREFIX_TOKENS)
    return worker.reportedWait(now) + uncached + NOISE_MS * this.random.next()
  }

  /** As many as the prefix's requests of the last second need when cached. */
  private homeCount (prefix: number): number {
    const busyMs = (this.lastHeat.get(prefix) ?? 0) * this.workers[0]!.prefillMs(QUESTION_TOKENS)
    return Math.max(FEWEST_HOMES, Math.ceil(busyMs / (LOAD_PERIOD_MS * HOME_SHARE)))
  }

  private homesOf (prefix: number): readonly number[] {
    const count = this.homeCount(prefix)
    const key = `${prefix}/${count}`
    const known = this.homes.get(key)
    if (known) {
      return known
    }
    const homes = homesOf(`prefix-${prefix}`, this.named, count).map(({ name }) => Number(name))
    this.homes.set(key, homes)
    return homes
  }
}

export function measureEventWorth (scale: Scale, seed: number): readonly EventWorth[] {
  return Object.values(KnowledgeKind).map(kind => EventModel.run(scale, kind, seed))
}
