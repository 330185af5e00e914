/**
 * Finds another server for a request whose own server is silent, and decides which of the
 * two goes on. The silent attempt stays open until then, because its server may be the
 * only one that can finish the answer.
 */
import { atAfterReading } from 'foxtaillever-core'
import { AttemptFailureKind, type AttemptFailure } from '../attempts/attemptFailure.js'
import type { Exchange } from '../model/exchange.js'
import type { AnswerHead } from '../attempts/attempt.js'
import type { StepGuard } from '../attempts/stepGuard.js'
import { isServerError, type AnswerRelay } from './answerRelay.js'
import type { AttemptLedger } from './attemptLedger.js'
import type { AttemptPlacement } from './attemptPlacement.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { ExchangeContext } from './exchangeContext.js'
import { handleSilence } from './handleSilence.js'
import type { InFlightAttempt } from './inFlightAttempt.js'
import type { InFlightAttempts } from './inFlightAttempts.js'
import { HeldKind, ReplacementPreview } from './replacementPreview.js'

/** Two servers may work on a request that goes on at the second one for 400 ms; the rest is for the cancellation to arrive, milliseconds. */
const MAX_OVERLAP_MS = 300

export interface ReplacementsOptions {
  readonly context: ExchangeContext
  readonly exchange: Exchange
  readonly ledger: AttemptLedger
  readonly placement: AttemptPlacement
  readonly relay: AnswerRelay
  readonly attempts: InFlightAttempts
  readonly answer: Pick<CallerAnswer, 'hasBegun'>
  readonly steps: StepGuard
  /** Whether another attempt may follow. */
  readonly mayRetry: () => boolean
  readonly recordFailure: (failure: AttemptFailure, failed: InFlightAttempt) => void
}

export class Replacements {
  /** What the replacement has sent. */
  private preview = ReplacementPreview.create(HeldKind.Whole, '')

  private constructor (private readonly options: ReplacementsOptions) {}

  static create (options: ReplacementsOptions): Replacements {
    return new Replacements(options)
  }

  /** Prepares for an attempt that is about to be opened beside the current one. */
  expect (): void {
    this.preview = ReplacementPreview.create(HeldKind.Whole, '')
  }

  /** Looks for a server for a replacement, unless no further attempt is allowed. */
  place (): void {
    const { mayRetry, placement, attempts } = this.options
    if (mayRetry()) {
      placement.placeNext()
    } else {
      attempts.stopReplacing()
    }
  }

  /** Logs and records that no server takes a replacement of the current attempt. */
  giveUp ({ serverId }: InFlightAttempt, reason: string): void {
    const { attempts, context, exchange } = this.options
    attempts.stopReplacing()
    context.log.notReplaced(exchange, serverId, reason)
  }

  /** What the replacement has sent of its answer's body. */
  get heldBytes (): Buffer {
    return this.preview.bytes
  }

  /** The server of the replacement has begun to work. */
  beginHolding (replacement: InFlightAttempt, head: AnswerHead): void {
    const { context: { clock }, attempts, relay, steps } = this.options
    this.preview = ReplacementPreview.create(this.heldKindOf(head), relay.lastEventId)
    atAfterReading(clock, clock.now() + MAX_OVERLAP_MS, steps.wrap(() => {
      if (attempts.isReplacement(replacement)) {
        this.goOnWith(replacement)
      }
    }))
  }

  /** Holds what the replacement sends until the stream can go on with it. */
  hold (replacement: InFlightAttempt, bytes: Buffer): void {
    const { preview } = this
    replacement.rejectIf(preview.push(bytes))
    if (preview.isSufficient && this.options.attempts.isReplacement(replacement)) {
      this.goOnWith(replacement)
    }
  }

  /** Whether the attempt is a replacement that has sent a part of an event last. */
  isTruncated (attempt: InFlightAttempt): boolean {
    return this.options.attempts.isReplacement(attempt) && this.preview.isTruncated
  }

  /** The attempt is the first to go on since the current one fell silent. An error cancels no attempt that may still succeed. */
  goOnWith (attempt: InFlightAttempt): void {
    const { attempts, placement, context, exchange } = this.options
    if (attempt.head && isServerError(attempt.head)) {
      return
    }
    const isReplacement = attempts.isReplacement(attempt)
    if (attempts.isReplacing) {
      placement.stop()
      attempts.choose(attempt)
    }
    if (isReplacement || attempt.isSilent) {
      context.log.silenceEnded(exchange, attempt.serverId, isReplacement)
    }
    attempt.isSilent = false
    if (isReplacement) {
      this.forwardFrom(attempt)
    }
  }

  /** Forwards the answer of an attempt that has taken the place of another one. */
  forwardFrom (attempt: InFlightAttempt): void {
    const { relay, ledger } = this.options
    ledger.recordActivity()
    relay.reset()
    if (attempt.head) {
      relay.begin(attempt.head)
      attempt.rejectIf(relay.push(this.preview.bytes))
    }
  }

  /**
   * The server has sent nothing for too long. A repeatable request may be
   * retried at another server; any other waits for its deadline, because it may
   * still be answered.
   */
  handleSilence (attempt: InFlightAttempt): void {
    const { context, exchange, relay, ledger, answer, attempts, recordFailure } = this.options
    if (attempts.isReplacement(attempt)) {
      this.handleSilentReplacement(attempt)
      return
    }
    const isReplaceable = !attempts.isReplacing && !attempt.isChanging
    if (!isReplaceable || !handleSilence(context, exchange, { current: attempt, ledger, canContinue: relay.canContinue, hasBegun: answer.hasBegun })) {
      return
    }
    if (!attempt.attempt.mayHaveArrived) {
      attempt.attempt.timeOut()
      return
    }
    attempts.beginReplacing()
    if (!attempt.isSilent) {
      attempt.isSilent = true
      recordFailure({ kind: AttemptFailureKind.Silent, detail: 'nothing received in time' }, attempt)
    }
    this.place()
  }

  private heldKindOf (head: AnswerHead): HeldKind {
    if (isServerError(head)) {
      return HeldKind.Error
    }
    return this.options.relay.isEventStream(head) ? HeldKind.Stream : HeldKind.Whole
  }

  /** A third server may take the request, if another attempt is left; until it has the request, both servers may still go on. */
  private handleSilentReplacement (replacement: InFlightAttempt): void {
    const { ledger, attempts, recordFailure } = this.options
    if (replacement.isChanging || attempts.needsServer || !ledger.hasAttemptsBeside(replacement)) {
      return
    }
    if (!replacement.attempt.mayHaveArrived) {
      replacement.attempt.timeOut()
      return
    }
    attempts.beginReplacingAgain()
    if (!replacement.isSilent) {
      replacement.isSilent = true
      recordFailure({ kind: AttemptFailureKind.Silent, detail: 'nothing received in time' }, replacement)
    }
    this.place()
  }
}
