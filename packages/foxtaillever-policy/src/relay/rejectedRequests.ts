/** Requests that an admission queue has rejected: when their callers may retry, and which request is such a retry. */
import { LEAST_URGENT_PRIORITY } from './yieldPriority.js'

/** Reading times between retries: with 1, retries alone take the whole server, and new requests are rejected in their place. */
const RETRY_SPACING = 2

/** How long a rejected request is remembered, milliseconds: callers return within a third of their time. */
const REMEMBERED_MS = 5000
const MAX_REMEMBERED = 512

interface RejectedRequest {
  readonly fingerprint: number
  /** Milliseconds of Unix time. */
  readonly rememberedUntil: number
}

export class RejectedRequests {
  /** Those that have not returned, the oldest first. */
  private readonly requests: RejectedRequest[] = []
  /** Earliest next retry time of each rank, milliseconds of Unix time. */
  private readonly nextRetryAt = new Array<number>(LEAST_URGENT_PRIORITY + 1).fill(0)

  private constructor () {}

  static create (): RejectedRequests {
    return new RejectedRequests()
  }

  record (fingerprint: number, now: number): void {
    this.requests.push({ fingerprint, rememberedUntil: now + REMEMBERED_MS })
    if (this.requests.length > MAX_REMEMBERED) {
      this.requests.shift()
    }
  }

  /** Each rejection counts for one retry: otherwise all requests of an account with the same level would count as retries. */
  takeRetry (fingerprint: number, now: number): boolean {
    const index = this.requests.findIndex(rejected => rejected.fingerprint === fingerprint && rejected.rememberedUntil > now)
    return index >= 0 && this.requests.splice(index, 1).length > 0
  }

  /**
   * Spaces retry times, so that callers do not return together; those of more urgent ranks come before.
   * @param emptyAt when the queue of the rank is expected to be empty, milliseconds of Unix time.
   */
  spaceRetry (rank: number, emptyAt: number, readMs: number): number {
    const retryAt = Math.max(emptyAt, ...this.nextRetryAt.slice(0, rank + 1))
    this.nextRetryAt[rank] = retryAt + RETRY_SPACING * readMs
    return retryAt
  }
}
