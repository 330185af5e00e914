/** Several instances that claim through one log, with a virtual clock. */
import type { Failure } from 'foxtaillever-core'
import { LocalLog, LogModel } from 'foxtaillever-standins'
import { VirtualClock } from 'foxtaillever-testing'
import type { Either } from 'purify-ts'
import { LogReader } from '../../log/logReader.js'
import { claimKey } from '../claim.js'
import { ClaimFold } from '../claimFold.js'
import { ClaimManager, defaultClaimOptions } from '../claimManager.js'
import type { Grant } from '../grant.js'

export const RETENTION_MS = 3_600_000

export interface Member {
  readonly log: LocalLog
  readonly fold: ClaimFold
  readonly manager: ClaimManager
  readonly reader: LogReader
}

export interface ClaimParameters {
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
    const fold = ClaimFold.create({ claimRetentionMs: RETENTION_MS, logRetentionMs })
    const incarnation = `instance-${this.started++}`
    const keeper = ClaimManager.create(log, fold, this.clock, { ...defaultClaimOptions, instance: incarnation, incarnation })
    const reader = LogReader.create(log, this.clock, [record => keeper.applyRecord(record)], (_, page) => keeper.updateCoverage(page))
    reader.start()
    return { log, fold, manager: keeper, reader }
  }

  /** Requests a grant; the result is set once the clock has advanced. */
  requestClaim (member: Member, parameters: ClaimParameters): { result?: Either<Failure, Grant> } {
    const answer: { result?: Either<Failure, Grant> } = {}
    const request = {
      key: claimKey('cooperative', parameters.idempotencyKey),
      requestId: `request-${this.requests++}`,
      digest: parameters.digest ?? 'body',
      createdAt: parameters.createdAt ?? this.clock.now(),
      deadline: this.clock.now() + (parameters.timeoutMs ?? 10_000)
    }
    member.manager.claim(request).then(result => { answer.result = result })
    return answer
  }

  async advance (milliseconds = 200): Promise<void> {
    await this.clock.advanceBy(milliseconds)
  }
}

/** `waiting`, `granted`, or the failure's code and verdict. */
export function describeResult (answer: { result?: Either<Failure, Grant> }): string {
  if (!answer.result) {
    return 'waiting'
  }
  return answer.result.caseOf({ Left: failure => `${failure.code} ${failure.verdict}`, Right: () => 'granted' })
}

export function grantOf (answer: { result?: Either<Failure, Grant> }): Grant {
  return answer.result?.extract() as Grant
}
