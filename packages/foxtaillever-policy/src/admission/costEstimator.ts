/**
 * Estimates the cost of a job from the earlier jobs of its client account.
 * Counting requests instead would let an account with long judgments use many
 * times its share, and the length of a queue would say little about the wait.
 */
import type { StreamEnd } from 'foxtaillever-core'
import { MovingMean } from '../collections/movingMean.js'
import { RecentMap } from '../collections/recentMap.js'
import type { Job } from '../job.js'

/** Covers 1,700 accounts with some of their models. */
const MAX_USAGE_ENTRIES = 4096

/** The means cover about the last ten answers. */
const USAGE_GAIN = 0.1

/** Assumed before the first answer: nothing cached, half of the allowed tokens generated. */
const CACHED_PRIOR = 0
const COMPLETION_PRIOR = 0.5

/** Assumed speed while no server is known; only the order of magnitude matters. */
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

interface UsageMeans {
  readonly cached: MovingMean
  readonly completion: MovingMean
}

export class CostEstimator {
  private readonly usage = RecentMap.create<UsageMeans>(MAX_USAGE_ENTRIES)

  private constructor (private speed: Speed) {}

  static create (): CostEstimator {
    return new CostEstimator(DEFAULT_SPEED)
  }

  /** Sets the speed to the mean of the servers in service. */
  setMeanSpeed (speeds: readonly Speed[]): void {
    if (speeds.length > 0) {
      const mean = (of: (speed: Speed) => number): number => Math.max(1, speeds.reduce((sum, speed) => sum + of(speed), 0) / speeds.length)
      this.speed = {
        prefillTokensPerSecond: mean(speed => speed.prefillTokensPerSecond),
        decodeTokensPerSecond: mean(speed => speed.decodeTokensPerSecond)
      }
    }
  }

  estimateCost (job: Job): JobCost {
    const means = this.usage.peek(this.keyOf(job))
    const cachedShare = means?.cached.value ?? CACHED_PRIOR
    const completionShare = means?.completion.value ?? COMPLETION_PRIOR
    return this.costOf(job.promptTokens * (1 - cachedShare), job.maxTokens * completionShare)
  }

  /** The actual cost of a completed job. */
  costOfAnswer (end: StreamEnd): JobCost {
    return this.costOf(Math.max(0, end.promptTokens - end.cachedTokens), end.completionTokens)
  }

  recordAnswer (job: Job, end: StreamEnd): void {
    const key = this.keyOf(job)
    const means = this.usage.get(key) ?? { cached: MovingMean.create(CACHED_PRIOR, USAGE_GAIN), completion: MovingMean.create(COMPLETION_PRIOR, USAGE_GAIN) }
    means.cached.add(end.cachedTokens / Math.max(1, end.promptTokens))
    means.completion.add(Math.min(1, end.completionTokens / Math.max(1, job.maxTokens)))
    this.usage.set(key, means)
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
