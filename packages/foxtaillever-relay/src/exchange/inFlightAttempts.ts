/**
 * The attempts of one exchange that are in flight: the one whose answer is forwarded, and
 * while that one is silent, its replacement. The first of the two that sends something
 * goes on, and the other is cancelled.
 */
import { runAll } from '../attempts/stepGuard.js'
import type { InFlightAttempt } from './inFlightAttempt.js'

export class InFlightAttempts {
  private forwarded: InFlightAttempt | undefined
  private replacement: InFlightAttempt | undefined
  private replacing = false
  /** Whether the replacement is silent too, and a third server is to take its place. */
  private replacingAgain = false

  private constructor (private readonly onCancelled: (attempt: InFlightAttempt) => void) {}

  /** @param onCancelled called for each attempt that is cancelled, before it is closed. */
  static create (onCancelled: (attempt: InFlightAttempt) => void): InFlightAttempts {
    return new InFlightAttempts(onCancelled)
  }

  /** The attempt whose answer is forwarded. */
  get current (): InFlightAttempt | undefined {
    return this.forwarded
  }

  /** The attempts, the current one first. */
  get all (): readonly InFlightAttempt[] {
    return [this.forwarded, this.replacement].flatMap(attempt => attempt ?? [])
  }

  /** Whether there is no attempt, or a replacement is to be found for the current one. */
  get needsServer (): boolean {
    return this.forwarded === undefined || (this.replacing && (this.replacement === undefined || this.replacingAgain))
  }

  /** Whether the current attempt is being replaced. */
  get isReplacing (): boolean {
    return this.replacing
  }

  /** From now on a second attempt may be opened beside the current one. */
  beginReplacing (): void {
    this.replacing = true
  }

  /** From now on another attempt may be opened in place of the replacement, which goes on until then. */
  beginReplacingAgain (): void {
    this.replacingAgain = true
  }

  isReplacement (attempt: InFlightAttempt): boolean {
    return attempt === this.replacement
  }

  /** Only the attempts that are in flight go on, because no server takes another one. */
  stopReplacing (): void {
    this.replacing = this.replacement !== undefined
    this.replacingAgain = false
  }

  open (attempt: InFlightAttempt): void {
    const { forwarded, replacement } = this
    this.replacingAgain = false
    if (forwarded) {
      this.replacement = attempt
      this.cancelAttempt(replacement)
    } else {
      this.forwarded = attempt
      this.replacing = false
    }
  }

  /** Cancels the other attempt. Returns whether this one was the replacement. */
  choose (attempt: InFlightAttempt): boolean {
    const isReplacement = attempt === this.replacement
    const other = isReplacement ? this.forwarded : this.replacement
    this.forwarded = attempt
    this.replacement = undefined
    this.replacing = false
    this.replacingAgain = false
    this.cancelAttempt(other)
    return isReplacement
  }

  /** Closes an attempt that has ended. Returns the replacement if it takes its place. */
  close (attempt: InFlightAttempt, mayStillRun = false): InFlightAttempt | undefined {
    const { replacement } = this
    this.replacement = undefined
    if (attempt === this.forwarded) {
      this.forwarded = replacement
      this.replacing &&= replacement === undefined || this.replacingAgain
    }
    this.replacingAgain = false
    attempt.close(mayStillRun)
    return attempt === replacement ? undefined : replacement
  }

  cancel (): void {
    const { forwarded, replacement } = this
    this.forwarded = undefined
    this.replacement = undefined
    this.replacing = false
    this.replacingAgain = false
    runAll(() => this.cancelAttempt(forwarded), () => this.cancelAttempt(replacement))
  }

  private cancelAttempt (attempt: InFlightAttempt | undefined): void {
    if (attempt) {
      runAll(
        () => this.onCancelled(attempt),
        () => attempt.attempt.cancel(),
        () => attempt.close(attempt.attempt.mayHaveArrived)
      )
    }
  }
}
