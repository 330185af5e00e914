/** Several instances that claim over one log, under a clock moved by hand. */
import type { Failure } from 'foxtaillever-core'
import { LocalLog, LogModel } from 'foxtaillever-standins'
import { VirtualClock } from 'foxtaillever-testing'
import type { Either } from 'purify-ts'
import { LogReader } from '../../log/logReader.js'
import { claimKey } from '../claim.js'
import { ClaimFold } from '../claimFold.js'
import { ClaimKeeper, defaultClaimOptions } from '../claimKeeper.js'
import type { Grant } from '../grant.js'

export const RETENTION_MS = 3_600_000

export interface Member {
  readonly log: LocalLog
  readonly fold: ClaimFold
  readonly keeper: ClaimKeeper
  readonly reader: LogReader
}

export interface Wish {
  readonly idempotencyKey: string
  readonly digest?: string
  readonly createdAt?: number
  readonly timeoutMs?: number
}

export class ClaimFleet {
  readonly clock = VirtualClock.create(10_000_000)
  readonly model = LogModel.create({ retentionMs: RETENTION_MS, appendsPerSecond: 300 }, this.clock)
  private started = 0
  private requests = 0

  static create (): ClaimFleet {
    return new ClaimFleet()
  }

  /** A new instance, or the same one after a restart. */
  start (logRetentionMs = RETENTION_MS): Member {
    const log = LocalLog.create(this.model, this.clock)
    const fold = ClaimFold.create({ keptMs: RETENTION_MS, logRetentionMs })
    const incarnation = `instance-${this.started++}`
    const keeper = ClaimKeeper.create(log, fold, this.clock, { ...defaultClaimOptions, instance: incarnation, incarnation })
    const reader = LogReader.create(log, this.clock, [record => keeper.read(record)], (_, page) => keeper.cover(page))
    reader.start()
    return { log, fold, keeper, reader }
  }

  /** Asks for a grant; the result is there once time has moved on. */
  ask (member: Member, wish: Wish): { result?: Either<Failure, Grant> } {
    const answer: { result?: Either<Failure, Grant> } = {}
    const request = {
      key: claimKey('cooperative', wish.idempotencyKey),
      requestId: `request-${this.requests++}`,
      digest: wish.digest ?? 'body',
      createdAt: wish.createdAt ?? this.clock.now(),
      deadline: this.clock.now() + (wish.timeoutMs ?? 10_000)
    }
    member.keeper.claim(request).then(result => { answer.result = result })
    return answer
  }

  async pass (milliseconds = 200): Promise<void> {
    await this.clock.advanceBy(milliseconds)
  }
}

/** `granted`, or the failure's code and verdict in one word each. */
export function nameResult (answer: { result?: Either<Failure, Grant> }): string {
  if (!answer.result) {
    return 'waiting'
  }
  return answer.result.caseOf({ Left: failure => `${failure.code} ${failure.verdict}`, Right: () => 'granted' })
}

export function grantOf (answer: { result?: Either<Failure, Grant> }): Grant {
  return answer.result?.extract() as Grant
}
