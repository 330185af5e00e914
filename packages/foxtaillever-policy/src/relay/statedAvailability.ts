/**
 * What one incarnation of a backend server has stated about itself, and from when on
 * it may be sent requests accordingly.
 *
 * Load pattern: a server leaves while the platform's store is unreachable, or refuses
 * requests for seconds. Only its answers say so; all other information about it is
 * older. When a backoff ends, all waiting requests would be sent at once, and the
 * server would request the next backoff. So a single request is sent first.
 */

/** After a backoff one trial request goes to the server; the next request waits for its answer, but no longer than this, milliseconds. */
const TRIAL_MS = 500

interface Backoff {
  /** All times in milliseconds of Unix time. */
  readonly requestedAt: number
  readonly until: number
  /** Until when other requests wait for the answer to the trial request. */
  trialUntil: number
}

export class StatedAvailability {
  /** When an answer last stated that the server leaves, milliseconds of Unix time; undefined when it does not leave. */
  private leavingAt: number | undefined
  /** Kept until the server accepts a request sent after the backoff's end. */
  private backoff: Backoff | undefined

  private constructor () {}

  static create (): StatedAvailability {
    return new StatedAvailability()
  }

  get isLeaving (): boolean {
    return this.leavingAt !== undefined
  }

  /** From when on the server may be sent anything, milliseconds of Unix time; Infinity for never again. */
  get reachableFrom (): number {
    return this.isLeaving ? Infinity : this.backoff?.until ?? 0
  }

  /** From when on the server may be chosen for a request, milliseconds of Unix time. */
  get opensAt (): number {
    return Math.max(this.reachableFrom, this.backoff?.trialUntil ?? 0)
  }

  /**
   * Records that the server leaves.
   * @param receivedAt when an answer stated it, milliseconds of Unix time; 0 for older information.
   * @returns whether this was not known before.
   */
  recordLeaving (receivedAt: number): boolean {
    const isNew = !this.isLeaving
    this.leavingAt = Math.max(this.leavingAt ?? 0, receivedAt)
    return isNew
  }

  /** Records that the server requested a backoff; of several, the latest end counts, regardless of the order of the answers. */
  recordBackoff (until: number, requestedAt: number): void {
    this.backoff = { requestedAt, until: Math.max(until, this.backoff?.until ?? 0), trialUntil: 0 }
  }

  /** Records that a request was sent to the server. */
  recordSent (now: number): void {
    if (this.backoff) {
      this.backoff.trialUntil = now + TRIAL_MS
    }
  }

  /** Records that the server accepted a request that was sent at that time. */
  recordAccepted (sentAt: number): void {
    if (this.backoff && sentAt >= this.backoff.until) {
      this.backoff = undefined
    }
  }

  /** Adds what the same incarnation has stated elsewhere. */
  merge ({ leavingAt, backoff }: StatedAvailability): void {
    if (leavingAt !== undefined) {
      this.recordLeaving(leavingAt)
    }
    if (backoff && backoff.until > (this.backoff?.until ?? 0)) {
      this.backoff = { ...backoff }
    }
  }

  /**
   * What the server's next incarnation stated before its start became known: answers
   * received after the start came from the new incarnation.
   */
  sinceStart (startedAt: number): StatedAvailability {
    const next = StatedAvailability.create()
    if (this.leavingAt !== undefined && this.leavingAt >= startedAt) {
      next.recordLeaving(this.leavingAt)
    }
    if (this.backoff && this.backoff.requestedAt >= startedAt) {
      next.backoff = { ...this.backoff }
    }
    return next
  }
}
