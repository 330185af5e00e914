/** A topic of the store: appends may be lost, or carried out seconds after their caller has given up. */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { eraOf, offsetOf, positionAt } from '../../knowledge/storePosition.js'
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

interface StoredRecord {
  readonly content: Buffer
  readonly appendedAt: number
}

export class FakeFenceLog {
  private records: StoredRecord[] = []
  private era = 0

  private constructor (private readonly clock: Clock, private readonly random: Random) {}

  static create (clock: Clock, random: Random): FakeFenceLog {
    return new FakeFenceLog(clock, random)
  }

  /** Comes back from a copy that is so old; offsets since then are given out again. */
  restore (ageMs: number): void {
    this.records = this.records.filter(({ appendedAt }) => appendedAt <= this.clock.now() - ageMs)
    this.era += 1
  }

  /** The log as one instance reaches it, which learns the era from answers. */
  through (weather: Weather): FenceLog {
    let known = 0
    return {
      append: async (_, at, record) => {
        const offset = eraOf(at) < known ? undefined : offsetOf(at)
        const answer = await this.append(weather, offset, record)
        return answer.map(({ isAppended, end }) => {
          known = eraOf(end)
          return { isAppended: isAppended && known === eraOf(at), end }
        })
      },
      readAt: async (_, offset) => await this.readAt(weather, offset)
    }
  }

  private async append (weather: Weather, at: number | undefined, record: Buffer): Promise<Either<Failure, FenceAppend>> {
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

  private appendNow (at: number | undefined, content: Buffer): FenceAppend {
    const isAppended = at === this.records.length
    if (isAppended) {
      this.records.push({ content, appendedAt: this.clock.now() })
    }
    return { isAppended, end: positionAt(this.era, this.records.length) }
  }

  private async readAt (weather: Weather, offset: number): Promise<Either<Failure, Buffer | undefined>> {
    if (weather.isDown) {
      return await this.giveUp()
    }
    await waitUntil(this.clock, this.clock.now() + CALL_MS)
    return Right(eraOf(offset) === this.era ? this.records[offsetOf(offset)]?.content : undefined)
  }

  private async giveUp<T> (): Promise<Either<Failure, T>> {
    await waitUntil(this.clock, this.clock.now() + GIVEN_UP_MS)
    return Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, 'no answer in time'))
  }
}
