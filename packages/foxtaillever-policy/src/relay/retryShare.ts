/**
 * This instance's share of the fleet's retry budget.
 *
 * In any window a service may receive retries for a share of its requests plus a
 * constant, summed over all instances. Each instance uses its part of the constant
 * and the share of the requests that it received itself. So the sum stays within the
 * budget without messages, also while instances are cut off from each other.
 *
 * Many instances may be killed at once while every request fails. An instance that
 * restarts knows neither what its former process sent within the window nor, at
 * first, how many instances there are: it would use the whole constant, and its part
 * twice. So it uses no part of the constant before it knows the number of instances,
 * and a smaller part until the window has passed.
 */

/** The configured retry budget in any window. */
export interface RetryAllowance {
  /** Retries allowed for each request. */
  readonly ratio: number
  /** Further retries in a window, by all instances together. */
  readonly slack: number
  readonly windowMs: number
}

/** Share of the allowance that stays unused: windows slide, and a retry may arrive later than it was sent. */
const RESERVED_SHARE = 0.2

/**
 * Share of the constant that a process uses while retries of its former process may
 * still count in the window. With RESERVED_SHARE and all that the former process
 * used, the sum is the constant: 0.8 x (1 + 0.25).
 */
const FIRST_WINDOW_SHARE = 0.25

interface Window {
  readonly requests: number[]
  readonly retries: number[]
}

export class RetryShare {
  private readonly services = new Map<string, Window>()
  /** Number of instances that share the constant; undefined until it is known. */
  private instances: number | undefined

  private constructor (private allowance: RetryAllowance, private startedAt: number) {}

  /** @param startedAt of the process, milliseconds of Unix time. */
  static create (allowance: RetryAllowance, startedAt: number): RetryShare {
    return new RetryShare(allowance, startedAt)
  }

  /** Replaces the configured budget. */
  setAllowance (allowance: RetryAllowance): void {
    this.allowance = allowance
  }

  /** Records that this instance has no former process: all that counts in the window was sent by this one. */
  recordFirstStart (): void {
    this.startedAt = -Infinity
  }

  setInstances (count: number): void {
    this.instances = Math.max(1, count)
  }

  /** Records a caller's request for the service. */
  addRequest (service: string, now: number): void {
    this.windowOf(service, now).requests.push(now)
  }

  /** Whether one more retry of a request for the service is allowed now. */
  canRetry (service: string, now: number): boolean {
    return this.available(service, now) >= 1
  }

  /** Retries of requests for the service that are left now; a fraction where less than one is. */
  available (service: string, now: number): number {
    const { requests, retries } = this.windowOf(service, now)
    return (1 - RESERVED_SHARE) * (this.allowance.ratio * requests.length + this.slackShareAt(now)) - retries.length
  }

  /** This instance's part of the constant. */
  private slackShareAt (now: number): number {
    const { instances, startedAt, allowance: { slack, windowMs } } = this
    if (instances === undefined) {
      return 0
    }
    const isFirstWindow = now < startedAt + windowMs
    return (isFirstWindow ? FIRST_WINDOW_SHARE : 1) * slack / instances
  }

  /** Like canRetry, but counts the retry when it is allowed. */
  tryRetry (service: string, now: number): boolean {
    const isAllowed = this.canRetry(service, now)
    if (isAllowed) {
      this.windowOf(service, now).retries.push(now)
    }
    return isAllowed
  }

  private windowOf (service: string, now: number): Window {
    let window = this.services.get(service)
    if (!window) {
      window = { requests: [], retries: [] }
      this.services.set(service, window)
    }
    const from = now - this.allowance.windowMs
    dropBefore(window.requests, from)
    dropBefore(window.retries, from)
    return window
  }
}

function dropBefore (times: number[], from: number): void {
  let count = 0
  while (count < times.length && (times[count] as number) < from) {
    count += 1
  }
  if (count > 0) {
    times.splice(0, count)
  }
}
