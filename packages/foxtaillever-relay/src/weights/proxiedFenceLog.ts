/**
 * Accesses the lease's log through another instance if this instance cannot reach the
 * platform's store. A holder cut off from the store still reaches engines and
 * instances. If its lease ended because of this, no instance would order new weights until the term and
 * the pause between two holders have passed. An append means the same whichever
 * instance makes it: its record names the holder, and it takes effect only if the topic
 * ends at the expected offset.
 */
import { Failure, FailureCode, Verdict, type Clock, type Random } from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import type { FenceAppend, FenceLog } from './fenceLog.js'

/** For this long after a failure of the own log other instances are called first, milliseconds: waiting for an answer that does not come takes most of a term. */
const OWN_LOG_AVOIDED_MS = 3000

/** Number of other instances tried for one call; a live one answers in milliseconds. */
const MAX_PROXIES = 2

export interface ProxiedFenceLogOptions {
  readonly clock: Clock
  readonly random: Random
  readonly own: FenceLog
  /** Addresses of instances that reach the store. */
  readonly proxies: () => readonly string[]
  /** The log as reached through the instance at the address. */
  readonly through: (address: string) => FenceLog
  /** A call to the own log failed. */
  readonly onFailed: () => void
}

type Call<T> = (log: FenceLog) => Promise<Either<Failure, T>>

export class ProxiedFenceLog implements FenceLog {
  /** Until when other instances are called first, milliseconds of Unix time. */
  private ownAvoidedUntil = 0

  private constructor (private readonly options: ProxiedFenceLogOptions) {}

  static create (options: ProxiedFenceLogOptions): ProxiedFenceLog {
    return new ProxiedFenceLog(options)
  }

  async append (topic: string, at: number, record: Buffer): Promise<Either<Failure, FenceAppend>> {
    return await this.call(async log => await log.append(topic, at, record))
  }

  async readAt (topic: string, offset: number): Promise<Either<Failure, Buffer | undefined>> {
    return await this.call(async log => await log.readAt(topic, offset))
  }

  private async call<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const isAvoided = this.options.clock.now() < this.ownAvoidedUntil
    const first = isAvoided ? await this.callProxied(call) : await this.callOwn(call)
    if (first.isRight()) {
      return first
    }
    return isAvoided ? await this.callOwn(call) : await this.callProxied(call)
  }

  private async callOwn<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const { clock, own, onFailed } = this.options
    const answer = await call(own)
    answer.ifLeft(() => {
      this.ownAvoidedUntil = clock.now() + OWN_LOG_AVOIDED_MS
      onFailed()
    })
    return answer
  }

  private async callProxied<T> (call: Call<T>): Promise<Either<Failure, T>> {
    const { random, proxies, through } = this.options
    const remaining = [...proxies()]
    let answer: Either<Failure, T> = Left(Failure.create(FailureCode.LogUnavailable, Verdict.NotRun, 'no other instance reaches the store'))
    for (let called = 0; called < MAX_PROXIES && remaining.length > 0 && answer.isLeft(); called++) {
      const [proxy = ''] = remaining.splice(random.below(remaining.length), 1)
      answer = await call(through(proxy))
    }
    return answer
  }
}
