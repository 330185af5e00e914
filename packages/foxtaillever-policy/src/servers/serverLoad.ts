/**
 * Estimates how full a backend server is now, from a delayed load report.
 *
 * Without this, every instance that reads "idle" in the same old report sends to
 * that server and overloads it until the next report. Callers see the time to
 * first token oscillate with the interval of the reports. So the report is used
 * only for the part of the other instances; this instance counts its own part
 * from its own sends, including those made since the report.
 */
import type { LoadReport } from 'foxtaillever-core'
import { MovingMean } from '../collections/movingMean.js'

/** A report older than this is ignored; engines report about once a second. */
const REPORT_VALID_MS = 5000

/** Step of the history of the own load, finer than the difference between the clocks of instances. */
const HISTORY_STEP_MS = 20

/** Steps kept, at least 1.3 s: longer than the delay of a report. */
const HISTORY_LENGTH = 64

/**
 * Maximum number of other instances whose sends since the report are estimated
 * from this instance's own. Callers are spread evenly, and a prefix that has
 * just become hot has the same home for all instances; but the sends of one
 * instance are too few to estimate those of hundreds.
 */
const MAX_SIMILAR_INSTANCES = 4

/** Assumed cached share of a prompt, before the first one was observed. */
const CACHED_PRIOR = 0.5
const CACHED_GAIN = 0.1

interface OwnLoad {
  readonly at: number
  outstanding: number
  /** Tokens as the engine counts them: whole prompts until they start, then the tokens left to prefill. */
  reportable: number
  /** Uncached tokens of requests without a first token. */
  pending: number
}

export class ServerLoad {
  /** Requests sent by this instance that have not ended. */
  outstanding = 0
  /** Uncached prompt tokens of this instance's requests without a first token. */
  pendingTokens = 0
  /** Entry instances, this one included. */
  instances = 1
  private reportable = 0
  private history: OwnLoad[] = []
  private othersOutstanding = 0
  private othersTokens = 0
  /** Own load when the last report was made. */
  private ownAtReport: OwnLoad = { at: 0, outstanding: 0, reportable: 0, pending: 0 }
  private readonly cachedShare = MovingMean.create(CACHED_PRIOR, CACHED_GAIN)
  private cacheTokensUsed = 0
  private validUntil = 0

  private constructor () {}

  static create (): ServerLoad {
    return new ServerLoad()
  }

  addRequest (uncachedTokens: number, promptTokens: number, now: number): void {
    this.outstanding += 1
    this.pendingTokens += uncachedTokens
    this.reportable += promptTokens
    this.recordHistory(now)
  }

  /** Corrects the counts when the engine has begun or ended a prefill. */
  adjustTokens (pendingChange: number, reportableChange: number, now: number): void {
    this.pendingTokens = Math.max(0, this.pendingTokens + pendingChange)
    this.reportable = Math.max(0, this.reportable + reportableChange)
    this.recordHistory(now)
  }

  removeRequest (now: number): void {
    this.outstanding = Math.max(0, this.outstanding - 1)
    this.recordHistory(now)
  }

  applyReport (report: LoadReport, now: number): void {
    const own = this.ownLoadAt(Math.min(report.madeAt, now))
    this.ownAtReport = own
    this.othersOutstanding = Math.max(0, report.running + report.waiting - own.outstanding)
    this.othersTokens = Math.max(0, report.waitingTokens - own.reportable)
    this.cacheTokensUsed = report.cacheTokensUsed
    this.validUntil = now + REPORT_VALID_MS
  }

  /** Clears the load of the other instances; a restarted engine is empty. */
  clearOtherInstances (): void {
    this.othersOutstanding = 0
    this.othersTokens = 0
    this.cacheTokensUsed = 0
  }

  /** Requests at the server now, of all instances. */
  occupancy (now: number): number {
    return this.outstanding + (now < this.validUntil ? this.othersOutstanding + this.estimateUnseen(this.outstanding - this.ownAtReport.outstanding) : 0)
  }

  /**
   * Estimates what the other instances have sent since the report: as much as
   * this one, each. When a prefix becomes hot, all instances send to its home
   * before the next report; counting only its own sends, each instance would see
   * free slots until the home is full.
   */
  private estimateUnseen (own: number): number {
    return Math.max(0, own) * Math.min(MAX_SIMILAR_INSTANCES, this.instances - 1)
  }

  /** Uncached prompt tokens queued before a new request. */
  queuedTokens (now: number): number {
    // The engine counts whole prompts, but will find a part of them in its cache.
    const others = this.othersTokens * (1 - this.cachedShare.value)
    return this.pendingTokens + (now < this.validUntil ? others + this.estimateUnseen(this.pendingTokens - this.ownAtReport.pending) : 0)
  }

  recordCachedShare (share: number): void {
    this.cachedShare.add(share)
  }

  /** Used share of a cache with that many tokens, 0 to 1. */
  cacheFullness (cacheTokens: number): number {
    return Math.min(1, this.cacheTokensUsed / Math.max(1, cacheTokens))
  }

  private recordHistory (now: number): void {
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

  private ownLoadAt (time: number): OwnLoad {
    for (let index = this.history.length - 1; index >= 0; index -= 1) {
      const entry = this.history[index] as OwnLoad
      if (entry.at <= time) {
        return entry
      }
    }
    return { at: time, outstanding: 0, reportable: 0, pending: 0 }
  }
}
