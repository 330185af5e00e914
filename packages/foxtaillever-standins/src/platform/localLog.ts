/**
 * In-memory client of the log model for one process, for tests in which several
 * instances share one log under a virtual clock.
 */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Log, type LogEntry, type LogPage } from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import type { LogModel } from './logModel.js'

/** Simulated network delay in one direction, milliseconds. */
const DELAY_MS = 2

export class LocalLog implements Log {
  /** While true, no call of this process reaches the log and no answer reaches the process. */
  isPartitioned = false

  private constructor (private readonly model: LogModel, private readonly clock: Clock, private readonly modelClock: Clock) {}

  /** @param clock clock of the process, which may differ from the log's. */
  static create (model: LogModel, clock: Clock, modelClock = clock): LocalLog {
    return new LocalLog(model, clock, modelClock)
  }

  async append (entry: LogEntry): Promise<Either<Failure, number>> {
    await this.delay()
    if (this.isPartitioned) {
      return this.failUnavailable(Verdict.NotRun)
    }
    const result = this.model.append(entry)
    await this.delay()
    return this.isPartitioned ? this.failUnavailable(Verdict.MayHaveRun) : result
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    await this.delay()
    if (!this.isPartitioned) {
      const waitMs = deadline - this.clock.now()
      await this.model.waitFor(from, this.modelClock.now() + waitMs)
    }
    const page = this.model.read(from)
    await this.delay()
    return this.isPartitioned ? this.failUnavailable(Verdict.NotRun) : page
  }

  private delay (): Promise<void> {
    return waitUntil(this.clock, this.clock.now() + DELAY_MS + this.model.faults.slownessMs)
  }

  private failUnavailable (verdict: Verdict): Either<Failure, never> {
    return Left(Failure.create(FailureCode.LogUnavailable, verdict, 'The log cannot be reached.'))
  }
}
