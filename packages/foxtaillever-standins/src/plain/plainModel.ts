/** Model of a plain service: it counts exports, which must not be repeated, and can be slow, fail or lose answers. */
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'

/** Faults that can be set at run time. */
export interface PlainFaults {
  /** Delay of each answer, milliseconds. */
  slownessMs: number
  /** How many of the next calls fail without effect. */
  failures: number
  /** How many of the next exports take effect but lose their answer. */
  lostAnswers: number
}

export class PlainModel {
  /** Number of runs of each export, by its idempotency key. */
  readonly exports = new Map<string, number>()
  lookups = 0
  readonly faults: PlainFaults = { slownessMs: 0, failures: 0, lostAnswers: 0 }

  private constructor () {}

  static create (): PlainModel {
    return new PlainModel()
  }

  setFaults (faults: Partial<PlainFaults>): void {
    Object.assign(this.faults, faults)
  }

  lookUp (id: string): Either<Failure, object> {
    return this.consumeFailure().map(() => {
      this.lookups += 1
      return { citation: id }
    })
  }

  /** Runs an export; it takes effect even if the answer is lost. */
  export (key: string): Either<Failure, object> {
    return this.consumeFailure().chain(() => {
      this.exports.set(key, (this.exports.get(key) ?? 0) + 1)
      if (this.faults.lostAnswers === 0) {
        return Right({ exported: key })
      }
      this.faults.lostAnswers -= 1
      return Left(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The answer was lost.'))
    })
  }

  private consumeFailure (): Either<Failure, void> {
    if (this.faults.failures === 0) {
      return Right(undefined)
    }
    this.faults.failures -= 1
    return Left(Failure.notRun(FailureCode.BackendServerError, 'The service failed.'))
  }
}
