/**
 * How full a backend server is now, worked out from a report that is late.
 *
 * Without this, every instance that reads "idle" in the same old report sends
 * there, and the server is flooded until the next one. Callers see the time to
 * first token swing in the rhythm of the reports. So the report only says what
 * the other instances have there; this instance's own part is always counted
 * from its own sends, including those made since the report.
 */
import type { LoadReport } from 'foxtaillever-core'
import { MovingMean } from '../collections/movingMean.js'

/** A report older than this says nothing; engines report about once a second. */
const REPORT_VALID_MS = 5000

/** Own past is remembered in steps of this, finer than clocks of instances agree. */
const HISTORY_STEP_MS = 20

/** Steps remembered; at least 1.3 s, more than a report is late. */
const HISTORY_LENGTH = 64

/**
 * Other instances whose unseen sends are guessed from this one's own. Callers
 * spread evenly, and a prefix that has just become hot has the same home for
 * all; but a guess for hundreds from the sends of one would be chance.
 */
const MOST_ALIKE = 4

/** Cached share of a prompt before one was seen. */
const CACHED_PRIOR = 0.5
const CACHED_GAIN = 0.1

interface OwnLoad {
  readonly at: number
  outstanding: number
  /** As the engine counts them: whole prompts until they start, then what is left to prefill. */
  reportable: number
  /** Uncached tokens whose first token has not come. */
  pending: number
}

export class ServerLoad {
  /** Requests sent by this instance and not ended. */
  outstanding = 0
  /** Uncached prompt tokens sent by this instance whose first token has not come. */
  pendingTokens = 0
  /** Entry instances, this one included. */
  instances = 1
  private reportable = 0
  private history: OwnLoad[] = []
  private othersOutstanding = 0
  private othersTokens = 0
  /** Own load when the last report was made. */
  private reported: OwnLoad = { at: 0, outstanding: 0, reportable: 0, pending: 0 }
  private readonly cachedShare = MovingMean.create(CACHED_PRIOR, CACHED_GAIN)
  private cacheTokensUsed = 0
  private validUntil = 0

  private constructor () {}

  static create (): ServerLoad {
    return new ServerLoad()
  }

  add (uncachedTokens: number, promptTokens: number, now: number): void {
    this.outstanding += 1
    this.pendingTokens += uncachedTokens
    this.reportable += promptTokens
    this.remember(now)
  }

  /** The engine has begun, or ended, a prefill; the counts fall or rise to what it said. */
  adjust (pendingChange: number, reportableChange: number, now: number): void {
    this.pendingTokens = Math.max(0, this.pendingTokens + pendingChange)
    this.reportable = Math.max(0, this.reportable + reportableChange)
    this.remember(now)
  }

  remove (now: number): void {
    this.outstanding = Math.max(0, this.outstanding - 1)
    this.remember(now)
  }

  observe (report: LoadReport, now: number): void {
    const own = this.ownAt(Math.min(report.madeAt, now))
    this.reported = own
    this.othersOutstanding = Math.max(0, report.running + report.waiting - own.outstanding)
    this.othersTokens = Math.max(0, report.waitingTokens - own.reportable)
    this.cacheTokensUsed = report.cacheTokensUsed
    this.validUntil = now + REPORT_VALID_MS
  }

  /** Forgets what others had there; a restarted engine has nothing. */
  reset (): void {
    this.othersOutstanding = 0
    this.othersTokens = 0
    this.cacheTokensUsed = 0
  }

  /** Requests there now, of all instances. */
  occupancy (now: number): number {
    return this.outstanding + (now < this.validUntil ? this.othersOutstanding + this.unseen(this.outstanding - this.reported.outstanding) : 0)
  }

  /**
   * What others have sent since the report: as much as this one. A prefix that
   * becomes hot makes all instances send to its home within one report's time;
   * with its own sends alone each sees free slots there until the home is full.
   */
  private unseen (own: number): number {
    return Math.max(0, own) * Math.min(MOST_ALIKE, this.instances - 1)
  }

  /** Uncached prompt tokens that a new request would stand behind. */
  queuedTokens (now: number): number {
    // The engine counts whole prompts, of which it will find a part in its cache.
    const others = this.othersTokens * (1 - this.cachedShare.value)
    return this.pendingTokens + (now < this.validUntil ? others + this.unseen(this.pendingTokens - this.reported.pending) : 0)
  }

  observeCached (share: number): void {
    this.cachedShare.add(share)
  }

  /** Used share of a cache of that size, 0 to 1. */
  cacheFullness (cacheTokens: number): number {
    return Math.min(1, this.cacheTokensUsed / Math.max(1, cacheTokens))
  }

  private remember (now: number): void {
    const last = this.history.at(-1)
    if (last && now - last.at < HISTORY_STEP_MS) {
      last.outstanding = this.outstanding
      last.reportable = this.reportable
      last.pending = this.pendingTokens
      return
    }
    this.history.push({ at: now, outstanding: this.outstanding, reportable: this.reportable, pending: this.pendingTokens })
    if (this.history.length >= 2 * HISTORY_LENGTH) {
      this.history = this.history.slice(-HISTORY_LENGTH)
    }
  }

  private ownAt (time: number): OwnLoad {
    for (let index = this.history.length - 1; index >= 0; index -= 1) {
      const entry = this.history[index] as OwnLoad
      if (entry.at <= time) {
        return entry
      }
    }
    return { at: time, outstanding: 0, reportable: 0, pending: 0 }
  }
}
