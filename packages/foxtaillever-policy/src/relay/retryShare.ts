/**
 * This instance's share of the fleet's retry budget.
 *
 * In any window a service may get retries for a share of its requests and a
 * constant more, summed over all instances. Each takes its part of the constant
 * and the share of the requests that it saw itself, so the sum keeps the bound
 * without a word between them, also while they are cut off from each other.
 *
 * Many instances may be killed at once while every request fails. Each that
 * starts again knows neither what its last life sent within the window nor, at
 * first, how many others there are: it would take the whole constant for itself
 * and spend its part a second time. So it takes no part of the constant before
 * it knows their number, and a smaller one until the window has passed.
 */

/** What the users allow in any window. */
export interface RetryAllowance {
  /** Retries for each request. */
  readonly ratio: number
  /** Further retries in a window, by all instances together. */
  readonly slack: number
  readonly windowMs: number
}

/** Kept free of the allowance: windows slide, and a retry may arrive later than it was sent. */
const KEPT_FREE = 0.2

/**
 * Part of the constant that a process takes while its last life may still count
 * in the window. With the whole that this life spent and KEPT_FREE it comes to
 * the constant, 0.8 x (1 + 0.25).
 */
const FIRST_PART = 0.25

interface Window {
  readonly requests: number[]
  readonly retries: number[]
}

export class RetryShare {
  private readonly services = new Map<string, Window>()
  /** That share the constant; undefined until it is known. */
  private instances: number | undefined

  private constructor (private allowance: RetryAllowance, private startedAt: number) {}

  /** @param startedAt of the process, milliseconds of Unix time. */
  static create (allowance: RetryAllowance, startedAt: number): RetryShare {
    return new RetryShare(allowance, startedAt)
  }

  /** Takes over what the users allow from now on. */
  setAllowance (allowance: RetryAllowance): void {
    this.allowance = allowance
  }

  /** No life of this instance came before: all that counts in the window was sent by this one. */
  observeFirstLife (): void {
    this.startedAt = -Infinity
  }

  observeInstances (count: number): void {
    this.instances = Math.max(1, count)
  }

  /** A caller's request for the service arrived here. */
  addRequest (service: string, now: number): void {
    this.windowOf(service, now).requests.push(now)
  }

  /** Whether one more arrival at the service is allowed now. */
  canTake (service: string, now: number): boolean {
    const { requests, retries } = this.windowOf(service, now)
    const { ratio } = this.allowance
    return retries.length + 1 <= (1 - KEPT_FREE) * (ratio * requests.length + this.slackAt(now))
  }

  /** This instance's part of the constant. */
  private slackAt (now: number): number {
    const { instances, startedAt, allowance: { slack, windowMs } } = this
    if (instances === undefined) {
      return 0
    }
    const isFirst = now < startedAt + windowMs
    return (isFirst ? FIRST_PART : 1) * slack / instances
  }

  /** Like canTake; what is allowed is counted. */
  take (service: string, now: number): boolean {
    const isAllowed = this.canTake(service, now)
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
