/**
 * Model of the platform's append-only log: offsets, limited retention, a limit on
 * appends a second, outages, slow answers, and answers that are lost after the append.
 */
import { Failure, FailureCode, Verdict, type Clock, type LogEntry, type LogPage, type LogRecord } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { Watchers } from './watchers.js'

export interface LogOptions {
  /** Records older than this are dropped, milliseconds. */
  readonly retentionMs: number
  readonly appendsPerSecond: number
}

/** Faults that can be set at run time. */
export interface LogFaults {
  /** Every call fails, without effect. */
  outage: boolean
  /** Added to each answer, milliseconds. */
  slownessMs: number
  /** Number of next appends that take effect but whose answer is lost. */
  lostAnswers: number
}

/** Most records in one page. */
const PAGE_RECORDS = 1000

export class LogModel {
  private records: LogRecord[] = []
  private next = 1
  private tokens: number
  private refilledAt: number
  private readonly watchers: Watchers
  readonly faults: LogFaults = { outage: false, slownessMs: 0, lostAnswers: 0 }

  private constructor (private readonly options: LogOptions, private readonly clock: Clock) {
    this.watchers = Watchers.create(clock)
    this.tokens = options.appendsPerSecond
    this.refilledAt = clock.now()
  }

  static create (options: LogOptions, clock: Clock): LogModel {
    return new LogModel(options, clock)
  }

  append (entry: LogEntry): Either<Failure, number> {
    if (this.faults.outage) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    if (!this.consumeToken()) {
      return Left(Failure.notRun(FailureCode.Overloaded, 'Too many appends a second.', this.clock.now() + 100))
    }
    const record: LogRecord = { ...entry, offset: this.next++, appendedAt: this.clock.now() }
    this.records.push(record)
    this.watchers.wake()
    if (this.faults.lostAnswers > 0) {
      this.faults.lostAnswers -= 1
      return Left(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The answer was lost.'))
    }
    return Right(record.offset)
  }

  private consumeToken (): boolean {
    const now = this.clock.now()
    const refill = (now - this.refilledAt) / 1000 * this.options.appendsPerSecond
    this.tokens = Math.min(this.options.appendsPerSecond, this.tokens + refill)
    this.refilledAt = now
    if (this.tokens < 1) {
      return false
    }
    this.tokens -= 1
    return true
  }

  read (from: number): Either<Failure, LogPage> {
    if (this.faults.outage) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    this.expire()
    const first = this.records[0]?.offset ?? this.next
    const start = Math.max(0, from - first)
    return Right({
      records: this.records.slice(start, start + PAGE_RECORDS),
      first,
      next: this.next,
      now: this.clock.now()
    })
  }

  private expire (): void {
    const oldest = this.clock.now() - this.options.retentionMs
    const kept = this.records.findIndex(record => record.appendedAt > oldest)
    this.records = kept < 0 ? [] : this.records.slice(kept)
  }

  /** Waits until an offset exists, the log goes down or the deadline passes. */
  async waitFor (offset: number, deadline: number): Promise<void> {
    while (this.next <= offset && this.clock.now() < deadline && !this.faults.outage) {
      await this.watchers.next(deadline)
    }
  }

  /** Sets faults; waiting readers check again. */
  setFaults (faults: Partial<LogFaults>): void {
    Object.assign(this.faults, faults)
    this.watchers.wake()
  }
}
