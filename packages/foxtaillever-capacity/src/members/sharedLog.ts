/**
 * The log as the members of one thread see it; the measuring thread appends.
 */
import { Left, Right, type Either } from 'purify-ts'
import { Failure, FailureCode, waitUntil, type Clock, type Log, type LogPage, type LogRecord } from 'foxtaillever-core'

export class SharedLog implements Log {
  isDown = false
  private readonly records: LogRecord[] = []
  private readonly waiters = new Set<() => void>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): SharedLog {
    return new SharedLog(clock)
  }

  add (record: LogRecord): void {
    this.records.push(record)
    this.waiters.forEach(wake => wake())
    this.waiters.clear()
  }

  async append (): Promise<Either<Failure, number>> {
    return Left(Failure.notRun(FailureCode.LogUnavailable, 'Members do not append here.'))
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    if (from > this.records.length) {
      await Promise.race([waitUntil(this.clock, deadline), new Promise<void>(resolve => this.waiters.add(resolve))])
    }
    if (this.isDown) {
      return Left(Failure.notRun(FailureCode.LogUnavailable, 'The log is down.'))
    }
    return Right({ records: this.records.slice(from - 1), first: 1, next: this.records.length + 1, now: this.clock.now() })
  }
}
