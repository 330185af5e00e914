/** Log that the members of one thread read; the measuring thread appends to it. */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, FailureCode, waitUntil, type Clock, type Log, type LogPage, type LogRecord } from 'foxtaillever-core'

export class SharedLog implements Log {
  isDown = false
  private readonly records: LogRecord[] = []
  private readonly waitingReaders = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): SharedLog {
    return new SharedLog(clock)
  }

  addRecord (record: LogRecord): void {
    this.records.push(record)
    this.waitingReaders.forEach(wake => wake())
    this.waitingReaders.clear()
  }

  async append (): Promise<Either<Failure, number>> {
    return Left(Failure.notRun(FailureCode.LogUnavailable, 'Members do not append here.'))
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    if (from > this.records.length) {
      await Promise.race([waitUntil(this.clock, deadline), new Promise<void>(resolve => this.waitingReaders.add(resolve))])
    }
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    return Right({ records: this.records.slice(from - 1), first: 1, next: this.records.length + 1, now: this.clock.now() })
  }
}
