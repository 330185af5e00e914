/**
 * The platform's log within one process, with the faults that tests need: outages,
 * lost answers, slow reads and expired records.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Log, type LogEntry, type LogPage, type LogRecord } from 'foxtaillever-core'

/** Minimum time until an answer, milliseconds. */
const ANSWER_MS = 5

/** How one append ends. */
export enum AppendOutcome {
  Answered = 'answered',
  /** Appended, but the writer gets no answer. */
  AnswerLost = 'answer-lost',
  /** Not appended; the writer gets no answer either. */
  RequestLost = 'request-lost'
}

export class FakeLog implements Log {
  isDown = false
  /** How long a read takes, milliseconds. */
  readDelayMs = 0
  appends = 0
  private readonly outcomes: AppendOutcome[] = []
  private records: LogRecord[] = []
  private nextOffset = 1
  private readonly waiters = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): FakeLog {
    return new FakeLog(clock)
  }

  /** Sets the outcomes of the next appends; the appends after them are answered. */
  setAppendOutcomes (...outcomes: readonly AppendOutcome[]): void {
    this.outcomes.push(...outcomes)
  }

  /** Drops the records below the offset, as at the end of their retention. */
  expireBelow (offset: number): void {
    this.records = this.records.filter(record => record.offset >= offset)
  }

  allRecords (): readonly LogRecord[] {
    return this.records
  }

  async append (entry: LogEntry): Promise<Either<Failure, number>> {
    this.appends += 1
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    const outcome = this.outcomes.shift() ?? AppendOutcome.Answered
    const lost = Left(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'No answer came.'))
    if (outcome === AppendOutcome.RequestLost) {
      return lost
    }
    const offset = this.nextOffset++
    // The record is copied through JSON, so that readers share no objects with the writer.
    this.records.push(JSON.parse(JSON.stringify({ ...entry, offset, appendedAt: this.clock.now() })) as LogRecord)
    this.wakeReaders()
    return outcome === AppendOutcome.Answered ? Right(offset) : lost
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    if (!this.isDown && from >= this.nextOffset) {
      await this.waitForRecord(deadline)
    }
    await waitUntil(this.clock, this.clock.now() + ANSWER_MS + this.readDelayMs)
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    return Right({
      records: this.records.filter(record => record.offset >= from),
      first: this.records[0]?.offset ?? this.nextOffset,
      next: this.nextOffset,
      now: this.clock.now()
    })
  }

  private async waitForRecord (deadline: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this.clock.at(deadline, () => {
        this.waiters.delete(wake)
        resolve()
      })
      const wake = (): void => {
        cancel()
        resolve()
      }
      this.waiters.add(wake)
    })
  }

  private wakeReaders (): void {
    this.waiters.forEach(wake => wake())
    this.waiters.clear()
  }
}
