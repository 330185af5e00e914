/**
 * What a job will cost, from what its client account's earlier jobs cost.
 * Counting requests instead would let an account with long judgments take many
 * times its share, and a queue of "ten requests" mean anything.
 */
import type { StreamEnd } from 'foxtaillever-core'
import { MovingMean } from '../collections/movingMean.js'
import { RecentMap } from '../collections/recentMap.js'
import type { Job } from '../job.js'

/** Covers 1,700 accounts with some of their models. */
const ACCOUNT_BOUND = 4096

/** About the last ten answers count. */
const GAIN = 0.1

/** Before the first answer: nothing cached, half of the allowed tokens generated. */
const CACHED_PRIOR = 0
const COMPLETION_PRIOR = 0.5

/** Speed assumed when no server is known yet; only the order of size matters. */
const DEFAULT_SPEED: Speed = { prefillTokensPerSecond: 5000, decodeTokensPerSecond: 50 }

export interface Speed {
  readonly prefillTokensPerSecond: number
  readonly decodeTokensPerSecond: number
}

export interface JobCost {
  readonly uncachedTokens: number
  readonly completionTokens: number
  readonly prefillMs: number
  readonly decodeMs: number
  /** Time in a server's slot, milliseconds. */
  readonly slotMs: number
}

interface Habit {
  readonly cached: MovingMean
  readonly completion: MovingMean
}

export class CostEstimate {
  private readonly habits = RecentMap.create<Habit>(ACCOUNT_BOUND)

  private constructor (private speed: Speed) {}

  static create (): CostEstimate {
    return new CostEstimate(DEFAULT_SPEED)
  }

  /** Takes the mean speed of the servers in service. */
  setSpeed (speeds: readonly Speed[]): void {
    if (speeds.length > 0) {
      const mean = (of: (speed: Speed) => number): number => Math.max(1, speeds.reduce((sum, speed) => sum + of(speed), 0) / speeds.length)
      this.speed = {
        prefillTokensPerSecond: mean(speed => speed.prefillTokensPerSecond),
        decodeTokensPerSecond: mean(speed => speed.decodeTokensPerSecond)
      }
    }
  }

  estimate (job: Job): JobCost {
    const habit = this.habits.peek(this.keyOf(job))
    const cachedShare = habit?.cached.value ?? CACHED_PRIOR
    const completionShare = habit?.completion.value ?? COMPLETION_PRIOR
    return this.costOf(job.promptTokens * (1 - cachedShare), job.maxTokens * completionShare)
  }

  /** What the job did cost. */
  measure (end: StreamEnd): JobCost {
    return this.costOf(Math.max(0, end.promptTokens - end.cachedTokens), end.completionTokens)
  }

  observe (job: Job, end: StreamEnd): void {
    const key = this.keyOf(job)
    const habit = this.habits.use(key) ?? { cached: MovingMean.create(CACHED_PRIOR, GAIN), completion: MovingMean.create(COMPLETION_PRIOR, GAIN) }
    habit.cached.add(end.cachedTokens / Math.max(1, end.promptTokens))
    habit.completion.add(Math.min(1, end.completionTokens / Math.max(1, job.maxTokens)))
    this.habits.set(key, habit)
  }

  private keyOf (job: Job): string {
    return `${job.account}/${job.model}`
  }

  private costOf (uncachedTokens: number, completionTokens: number): JobCost {
    const prefillMs = uncachedTokens / this.speed.prefillTokensPerSecond * 1000
    const decodeMs = completionTokens / this.speed.decodeTokensPerSecond * 1000
    return { uncachedTokens, completionTokens, prefillMs, decodeMs, slotMs: prefillMs + decodeMs }
  }
}
