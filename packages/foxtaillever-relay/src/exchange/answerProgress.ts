/** How far the answer of one exchange has come, for the log line of one that ends before it is complete. */
import type { AttemptFailureKind } from '../attempts/attemptFailure.js'
import type { AnswerRelay } from './answerRelay.js'
import { AttemptState, type AttemptLedger } from './attemptLedger.js'
import type { CallerAnswer } from './callerAnswer.js'

/** An answer that has begun and ends before it is complete. */
export interface IncompleteAnswer {
  /** What became of the last attempt, up to the end of the exchange. */
  readonly attempt: AttemptFailureKind | AttemptState
  /** Events passed on to the caller. */
  readonly events: number
  /** Bytes of the body passed on to the caller. */
  readonly bytes: number
  readonly lastEventId: string
  /** Time since a server last sent a part of the answer, milliseconds. */
  readonly lastByteMsAgo: number | undefined
  /** Bytes passed on that the operating system has not accepted yet. */
  readonly unsentBytes: number
  /** How the caller's connection closed; undefined while it is open. */
  readonly connection: string | undefined
  /** Revision of the configuration in force when the exchange began. */
  readonly revisionAtStart: number
}

export interface AnswerProgressOptions {
  readonly answer: CallerAnswer
  readonly relay: AnswerRelay
  readonly ledger: AttemptLedger
  readonly revisionAtStart: number
}

export class AnswerProgress {
  /** When a server last sent a part of the answer, milliseconds of Unix time; undefined before. */
  private lastByteAt: number | undefined

  private constructor (private readonly options: AnswerProgressOptions) {}

  static create (options: AnswerProgressOptions): AnswerProgress {
    return new AnswerProgress(options)
  }

  recordBytes (now: number): void {
    this.lastByteAt = now
  }

  /** Undefined while no part of an answer was passed on. */
  describe (now: number): IncompleteAnswer | undefined {
    const { lastByteAt, options: { answer, relay, ledger, revisionAtStart } } = this
    return answer.hasBegun
      ? {
          attempt: ledger.lastAttempt,
          events: relay.eventsPassed,
          bytes: answer.bytesPassed,
          lastEventId: relay.lastEventId,
          lastByteMsAgo: lastByteAt === undefined ? undefined : Math.round(now - lastByteAt),
          unsentBytes: answer.unsentBytes,
          connection: answer.connectionEnd,
          revisionAtStart
        }
      : undefined
  }
}
