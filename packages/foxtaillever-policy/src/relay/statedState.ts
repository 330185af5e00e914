/**
 * What one start of a backend server has stated of itself, and from when on it takes
 * requests by that.
 *
 * The load it answers: a server leaves while the platform's store is away, or turns
 * requests away for seconds. Only its answers say so, and whatever else is heard of it
 * meanwhile is older. When a rest ends, all that was kept from the server would come at
 * once, and it would ask for the next.
 */

/** After a rest one request goes to the server; the next waits for its answer, and this long at most, milliseconds. */
const TRIAL_MS = 500

interface Rest {
  /** Milliseconds of Unix time, all of them. */
  readonly askedAt: number
  readonly until: number
  /** The request that finds out whether the server is well again is given so long. */
  trialUntil: number
}

export class StatedState {
  /** When an answer last said that it leaves, milliseconds of Unix time; undefined when it does not leave. */
  private leavingAt: number | undefined
  /** Until the server has taken a request after it. */
  private rest: Rest | undefined

  private constructor () {}

  static create (): StatedState {
    return new StatedState()
  }

  get isLeaving (): boolean {
    return this.leavingAt !== undefined
  }

  /** From when on anything may be sent there, milliseconds of Unix time; Infinity for never again. */
  get reachableFrom (): number {
    return this.isLeaving ? Infinity : this.rest?.until ?? 0
  }

  /** From when on it may be chosen for a request. */
  get opensAt (): number {
    return Math.max(this.reachableFrom, this.rest?.trialUntil ?? 0)
  }

  /**
   * It leaves.
   * @param heardAt when an answer said so, milliseconds of Unix time; 0 for an older word.
   * @returns whether that is news.
   */
  observeLeaving (heardAt: number): boolean {
    const isNews = !this.isLeaving
    this.leavingAt = Math.max(this.leavingAt ?? 0, heardAt)
    return isNews
  }

  /** It wants nothing until then; of two rests the later end counts, whichever answer came last. */
  observeRest (until: number, askedAt: number): void {
    this.rest = { askedAt, until: Math.max(until, this.rest?.until ?? 0), trialUntil: 0 }
  }

  /** A request is on its way there. */
  observeSent (now: number): void {
    if (this.rest) {
      this.rest.trialUntil = now + TRIAL_MS
    }
  }

  /** It has taken a request that was sent then. */
  observeTaken (sentAt: number): void {
    if (this.rest && sentAt >= this.rest.until) {
      this.rest = undefined
    }
  }

  /**
   * What the next start of the server has stated before anybody knew that it had started:
   * an answer that came after that was its own.
   */
  since (startedAt: number): StatedState {
    const next = StatedState.create()
    if (this.leavingAt !== undefined && this.leavingAt >= startedAt) {
      next.observeLeaving(this.leavingAt)
    }
    if (this.rest && this.rest.askedAt >= startedAt) {
      next.rest = { ...this.rest }
    }
    return next
  }
}
