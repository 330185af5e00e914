/** A topic of the store: appends may be lost, or carried out seconds after their caller has given up. */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { FenceAppend, FenceLog } from '../fenceLog.js'

const CALL_MS = 4
const GIVEN_UP_MS = 700
const MOST_LATE_MS = 6000

/** How the store treats the calls of one instance. */
export interface Weather {
  /** Share of the appends whose answer is lost though they are carried out, now or late. */
  lostShare: number
  /** A lost one is carried out so much later at most, milliseconds. */
  mostLateMs?: number
  isDown: boolean
}

export class FakeFenceLog {
  readonly records: Buffer[] = []

  private constructor (private readonly clock: Clock, private readonly random: Random) {}

  static create (clock: Clock, random: Random): FakeFenceLog {
    return new FakeFenceLog(clock, random)
  }

  /** The log as one instance reaches it. */
  through (weather: Weather): FenceLog {
    return {
      append: async (_, at, record) => await this.append(weather, at, record),
      readAt: async (_, offset) => await this.readAt(weather, offset)
    }
  }

  private async append (weather: Weather, at: number, record: Buffer): Promise<Either<Failure, FenceAppend>> {
    if (weather.isDown) {
      return await this.giveUp()
    }
    if (this.random.next() < weather.lostShare) {
      this.clock.at(this.clock.now() + this.random.below(weather.mostLateMs ?? MOST_LATE_MS), () => { this.appendNow(at, record) })
      return await this.giveUp()
    }
    await waitUntil(this.clock, this.clock.now() + CALL_MS)
    return Right(this.appendNow(at, record))
  }

  private appendNow (at: number, record: Buffer): FenceAppend {
    const isAppended = at === this.records.length
    if (isAppended) {
      this.records.push(record)
    }
    return { isAppended, end: this.records.length }
  }

  private async readAt (weather: Weather, offset: number): Promise<Either<Failure, Buffer | undefined>> {
    if (weather.isDown) {
      return await this.giveUp()
    }
    await waitUntil(this.clock, this.clock.now() + CALL_MS)
    return Right(this.records[offset])
  }

  private async giveUp<T> (): Promise<Either<Failure, T>> {
    await waitUntil(this.clock, this.clock.now() + GIVEN_UP_MS)
    return Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, 'no answer in time'))
  }
}
