/**
 * The log model as one process sees it, without a socket: for tests in which
 * several instances share one log under a virtual clock.
 */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Log, type LogEntry, type LogPage } from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import type { LogModel } from './logModel.js'

/** One way on the simulated wire, milliseconds. */
const DELAY_MS = 2

export class LocalLog implements Log {
  /** While true nothing of this process reaches the log, nor any answer it. */
  isCut = false

  private constructor (private readonly model: LogModel, private readonly clock: Clock, private readonly modelClock: Clock) {}

  /** @param clock the process's own; may differ from the log's. */
  static create (model: LogModel, clock: Clock, modelClock = clock): LocalLog {
    return new LocalLog(model, clock, modelClock)
  }

  async append (entry: LogEntry): Promise<Either<Failure, number>> {
    await this.travel()
    if (this.isCut) {
      return this.refuse(Verdict.NotRun)
    }
    const result = this.model.append(entry)
    await this.travel()
    return this.isCut ? this.refuse(Verdict.MayHaveRun) : result
  }

  async read (from: number, deadline: number): Promise<Either<Failure, LogPage>> {
    await this.travel()
    if (!this.isCut) {
      const waitMs = deadline - this.clock.now()
      await this.model.waitFor(from, this.modelClock.now() + waitMs)
    }
    const page = this.model.read(from)
    await this.travel()
    return this.isCut ? this.refuse(Verdict.NotRun) : page
  }

  private travel (): Promise<void> {
    return waitUntil(this.clock, this.clock.now() + DELAY_MS + this.model.faults.slownessMs)
  }

  private refuse (verdict: Verdict): Either<Failure, never> {
    return Left(Failure.create(FailureCode.LogUnavailable, verdict, 'The log cannot be reached.'))
  }
}
