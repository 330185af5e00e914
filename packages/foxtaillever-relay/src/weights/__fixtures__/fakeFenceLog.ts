/** A fake topic of the store: answers may be lost, and appends carried out seconds after their call timed out. */
import { Failure, FailureCode, Verdict, waitUntil, type Clock, type Random } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { eraOf, offsetOf, positionAt } from '../../knowledge/storePosition.js'
import type { FenceAppend, FenceLog } from '../fenceLog.js'

const CALL_MS = 4
const CALL_TIMEOUT_MS = 700
const MAX_LATE_MS = 6000

/** Faults of the store's calls as one instance sees them. */
export interface StoreConditions {
  /** Share of the appends whose answer is lost although they are carried out, at once or late. */
  lostShare: number
  /** Longest delay of an append whose answer is lost, milliseconds. */
  maxLateMs?: number
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

  /** Restores the topic from a copy of that age; offsets since then are used again. */
  restore (ageMs: number): void {
    this.records = this.records.filter(({ appendedAt }) => appendedAt <= this.clock.now() - ageMs)
    this.era += 1
  }

  /** The log as one instance reaches it; it learns the era from answers. */
  through (conditions: StoreConditions): FenceLog {
    let known = 0
    return {
      append: async (_, at, record) => {
        const offset = eraOf(at) < known ? undefined : offsetOf(at)
        const answer = await this.append(conditions, offset, record)
        return answer.map(({ isAppended, end }) => {
          known = eraOf(end)
          return { isAppended: isAppended && known === eraOf(at), end }
        })
      },
      readAt: async (_, offset) => await this.readAt(conditions, offset)
    }
  }

  private async append (conditions: StoreConditions, at: number | undefined, record: Buffer): Promise<Either<Failure, FenceAppend>> {
    if (conditions.isDown) {
      return await this.timeOut()
    }
    if (this.random.next() < conditions.lostShare) {
      this.clock.at(this.clock.now() + this.random.below(conditions.maxLateMs ?? MAX_LATE_MS), () => { this.appendNow(at, record) })
      return await this.timeOut()
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

  private async readAt (conditions: StoreConditions, offset: number): Promise<Either<Failure, Buffer | undefined>> {
    if (conditions.isDown) {
      return await this.timeOut()
    }
    await waitUntil(this.clock, this.clock.now() + CALL_MS)
    return Right(eraOf(offset) === this.era ? this.records[offsetOf(offset)]?.content : undefined)
  }

  private async timeOut<T> (): Promise<Either<Failure, T>> {
    await waitUntil(this.clock, this.clock.now() + CALL_TIMEOUT_MS)
    return Left(Failure.create(FailureCode.LogUnavailable, Verdict.MayHaveRun, 'no answer in time'))
  }
}
