/**
 * The lease's log by way of another instance. A holder that is cut off from the
 * platform's store still reaches engines and instances; were its lease to end for
 * that, nobody would give orders until the term and the pause between two holders
 * have passed, while weights that are named go nowhere. So another instance makes
 * its appends. What an append means does not depend on who carries it: it names
 * the holder, and it counts only where the topic is known to end.
 */
import { Failure, FailureCode, Verdict, type Clock, type Random } from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import type { FenceAppend, FenceLog } from './fenceLog.js'

/** For so long after a failure the other instance is asked first: an answer that does not come takes most of a term, milliseconds. */
const AVOIDED_MS = 3000

/** Instances asked for one call; one that is alive answers in milliseconds. */
const MOST_LENDERS = 2

export interface LentFenceLogOptions {
  readonly clock: Clock
  readonly random: Random
  readonly own: FenceLog
  /** Addresses of instances that the store answers. */
  readonly lenders: () => readonly string[]
  /** The log of the instance at the address. */
  readonly through: (address: string) => FenceLog
  /** A call of the own log failed. */
  readonly onFailed: () => void
}

type Call<T> = (log: FenceLog) => Promise<Either<Failure, T>>

export class LentFenceLog implements FenceLog {
  /** Milliseconds of Unix time. */
  private avoidedUntil = 0

  private constructor (private readonly options: LentFenceLogOptions) {}

  static create (options: LentFenceLogOptions): LentFenceLog {
    return new LentFenceLog(options)
  }

  async append (topic: string, at: number, record: Buffer): Promise<Either<Failure, FenceAppend>> {
    return await this.call(async log => await log.append(topic, at, record))
  }

  async readAt (topic: string, offset: number): Promise<Either<Failure, Buffer | undefined>> {
    return await this.call(async log => await log.readAt(topic, offset))
  }

  private async call<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const isAvoided = this.options.clock.now() < this.avoidedUntil
    const first = isAvoided ? await this.callLent(call) : await this.callOwn(call)
    if (first.isRight()) {
      return first
    }
    return isAvoided ? await this.callOwn(call) : await this.callLent(call)
  }

  private async callOwn<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const { clock, own, onFailed } = this.options
    const answer = await call(own)
    answer.ifLeft(() => {
      this.avoidedUntil = clock.now() + AVOIDED_MS
      onFailed()
    })
    return answer
  }

  private async callLent<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const { random, lenders, through } = this.options
    const left = [...lenders()]
    let answer: Either<Failure, T> = Left(Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'no instance has the store'))
    for (let asked = 0; asked < MOST_LENDERS && left.length > 0 && answer.isLeft(); asked++) {
      const [lender = ''] = left.splice(random.below(left.length), 1)
      answer = await call(through(lender))
    }
    return answer
  }
}
