/**
 * This instance's share of the fleet's retry budget.
 *
 * In any window a service may receive retries for a share of its requests plus a
 * constant, summed over all instances. Each instance uses the share of the requests
 * that it received itself and its part of the constant, so that the sum stays within
 * the budget without messages, also while instances are cut off from each other.
 *
 * A process knows nothing of what its former process sent within the window, nor
 * whether it takes the place of another instance. So its share is a token bucket that
 * begins empty, and what a former process spent need not be known: in any window the
 * processes of an instance, one after the other, send at most what the bucket held
 * when the window began and what was added within it. The bucket fills with requests
 * and with time, and holds a part of the budget of one window for a burst of failures.
 *
 * Where the share is a few retries in a window, the part that a bucket may hold is less
 * than one. There the retries within the window are counted instead, and a process
 * makes none until a window after its start.
 */
import { SlidingCount } from '../collections/slidingCount.js'
import { TokenBucket } from '../limits/tokenBucket.js'

/** The configured retry budget in any window. */
export interface RetryAllowance {
  /** Retries allowed for each request. */
  readonly ratio: number
  /** Further retries in a window, by all instances together. */
  readonly slack: number
  readonly windowMs: number
}

/** Part of a window's budget that is used in all: a retry may arrive later than it was counted. */
const USED_SHARE = 0.95

/** Part of a window's budget that may be saved for a burst. */
const SAVED_SHARE = 0.25

/** Below this many retries in a window, what may be saved is less than one retry, and the bucket would never allow any. */
const SMALL_BUDGET = 1 / SAVED_SHARE

/**
 * How long the largest number of instances counts, milliseconds. Regions lose each
 * other for minutes: if each counted only its own instances, together they would
 * use the constant twice.
 */
const COUNT_HOLD_MS = 600_000

interface ServiceShare {
  readonly requests: SlidingCount
  readonly retries: SlidingCount
  readonly bucket: TokenBucket
}

export class RetryShare {
  private readonly services = new Map<string, ServiceShare>()
  private largest = { count: 0, until: 0 }

  private constructor (private allowance: RetryAllowance, private readonly startedAt: number, private readonly instances: () => number | undefined) {}

  /**
   * @param startedAt of the process, milliseconds of Unix time.
   * @param instances number of instances that share the constant; undefined until it is known.
   */
  static create (allowance: RetryAllowance, startedAt: number, instances: () => number | undefined): RetryShare {
    return new RetryShare(allowance, startedAt, instances)
  }

  /** Replaces the configured budget. */
  setAllowance (allowance: RetryAllowance): void {
    if (allowance.windowMs !== this.allowance.windowMs) {
      this.services.clear()
    }
    this.allowance = allowance
  }

  /** Records a caller's request for the service. */
  addRequest (service: string, now: number): void {
    const { requests, bucket } = this.shareOf(service)
    requests.add(now)
    bucket.refund((USED_SHARE - SAVED_SHARE) * this.allowance.ratio)
  }

  /** Whether one more retry of a request for the service is allowed now. */
  canRetry (service: string, now: number): boolean {
    return this.available(service, now) >= 1
  }

  /** Like canRetry, but counts the retry when it is allowed. */
  tryRetry (service: string, now: number): boolean {
    const isAllowed = this.canRetry(service, now)
    if (isAllowed) {
      const { retries, bucket } = this.shareOf(service)
      retries.add(now)
      bucket.take(1)
    }
    return isAllowed
  }

  /** Retries of requests for the service that are left now; a fraction where less than one is. */
  available (service: string, now: number): number {
    const { requests, retries, bucket } = this.shareOf(service)
    const { ratio, windowMs } = this.allowance
    const slack = this.slackPart(now)
    const budget = ratio * requests.atLeast(now) + slack
    bucket.fill((USED_SHARE - SAVED_SHARE) * slack / windowMs, SAVED_SHARE * budget, now)
    if (budget >= SMALL_BUDGET) {
      return bucket.level
    }
    return now < this.startedAt + windowMs ? 0 : USED_SHARE * budget - retries.atMost(now)
  }

  /** This instance's part of the constant. */
  private slackPart (now: number): number {
    const count = this.instances()
    if (count === undefined) {
      return 0
    }
    if (count >= this.largest.count || now >= this.largest.until) {
      this.largest = { count: Math.max(1, count), until: now + COUNT_HOLD_MS }
    }
    return this.allowance.slack / this.largest.count
  }

  private shareOf (service: string): ServiceShare {
    let share = this.services.get(service)
    if (!share) {
      const { windowMs } = this.allowance
      share = { requests: SlidingCount.create(windowMs), retries: SlidingCount.create(windowMs), bucket: TokenBucket.create(0, this.startedAt) }
      this.services.set(service, share)
    }
    return share
  }
}
