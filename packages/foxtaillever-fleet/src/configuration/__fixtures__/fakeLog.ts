/**
 * The platform's log within one process, with the faults that matter: outages,
 * lost answers, slow reads and retention.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Log, type LogEntry, type LogPage, type LogRecord } from 'foxtaillever-core'

/** How long an answer takes at least, milliseconds. */
const ANSWER_MS = 5

/** What becomes of one append. */
export enum AppendFate {
  Answered = 'answered',
  /** Appended, but the writer hears that it may not have been. */
  AnswerLost = 'answer-lost',
  /** Lost on the way there; the writer hears the same. */
  RequestLost = 'request-lost'
}

export class FakeLog implements Log {
  isDown = false
  /** How long a read takes, milliseconds. */
  readDelayMs = 0
  appends = 0
  private readonly fates: AppendFate[] = []
  private records: LogRecord[] = []
  private next = 1
  private readonly waiters = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): FakeLog {
    return new FakeLog(clock)
  }

  /** Fates of the appends to come; later ones are answered. */
  decide (...fates: readonly AppendFate[]): void {
    this.fates.push(...fates)
  }

  /** Drops the records below the offset, as at the end of their retention. */
  expireBelow (offset: number): void {
    this.records = this.records.filter(record => record.offset >= offset)
  }

  all (): readonly LogRecord[] {
    return this.records
  }

  async append (entry: LogEntry): Promise<Either<Failure, number>> {
    this.appends += 1
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    const fate = this.fates.shift() ?? AppendFate.Answered
    const lost = Left(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'No answer came.'))
    if (fate === AppendFate.RequestLost) {
      return lost
    }
    const offset = this.next++
    // A record goes through JSON on its way, so that no reader shares objects with its writer.
    this.records.push(JSON.parse(JSON.stringify({ ...entry, offset, appendedAt: this.clock.now() })) as LogRecord)
    this.wakeReaders()
    return fate === AppendFate.Answered ? Right(offset) : lost
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    if (!this.isDown && from >= this.next) {
      await this.waitForRecord(deadline)
    }
    await waitUntil(this.clock, this.clock.now() + ANSWER_MS + this.readDelayMs)
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    return Right({
      records: this.records.filter(record => record.offset >= from),
      first: this.records[0]?.offset ?? this.next,
      next: this.next,
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
