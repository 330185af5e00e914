/**
 * Records the outcomes of all attempts of one exchange. The verdict for the
 * caller and whether another attempt is allowed follow from all of them, not
 * only from the last.
 */
import { Verdict, type FailureCode } from 'foxtaillever-core'
import { AttemptFailureKind, meaningOf } from '../attempts/attemptFailure.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'

/** Servers that may reject one exchange before its caller is asked to retry later. */
const MAX_REJECTIONS = 3

/** Time that must be left before the deadline for another attempt, milliseconds. */
const MIN_ATTEMPT_MS = 20

export class AttemptLedger {
  /** Servers of all attempts, in order. */
  readonly attemptedServers: string[] = []
  /** Servers that failed the request; it is not sent to them again. */
  readonly failed = new Set<string>()
  /** Whether a server had another id or other weights than expected. */
  wasMisdirected = false
  /** The verdict on all attempts together. */
  verdict = Verdict.NotRun
  /** Attempts that arrived at a server; each but the first counts as a retry. */
  arrivals = 0
  /** Code of the last attempt that ran or may have run. The caller gets it rather than the reason why no further attempt is made. */
  ranCode: FailureCode | undefined
  /** Attempts that ran or may have run. */
  private runs = 0
  private hasRun = false

  private constructor (private readonly exchange: Exchange) {}

  static create (exchange: Exchange): AttemptLedger {
    return new AttemptLedger(exchange)
  }

  /** Whether one more server may run the request. */
  get hasAttemptsLeft (): boolean {
    return this.runs + 1 < this.exchange.route.mostAttempts
  }

  addAttempt (server: string): void {
    this.attemptedServers.push(server)
  }

  /**
   * Records a failed attempt.
   * @param hasAnswerBegun whether a part of an answer was sent to the caller.
   */
  recordFailure (server: string, kind: AttemptFailureKind, hasAnswerBegun: boolean): void {
    const { verdict, code, isArrival } = meaningOf[kind]
    this.failed.add(server)
    this.wasMisdirected ||= kind === AttemptFailureKind.Misdirected
    this.arrivals += isArrival ? 1 : 0
    this.hasRun = verdict !== Verdict.NotRun
    if (this.hasRun) {
      this.runs += 1
      this.ranCode = code
      this.raiseVerdict(hasAnswerBegun ? Verdict.Ran : verdict)
    }
  }

  /** Records an attempt that this instance ended without an outcome from the server. */
  recordInterruption (mayHaveArrived: boolean): void {
    if (mayHaveArrived) {
      this.raiseVerdict(Verdict.MayHaveRun)
    }
  }

  /** Whether another attempt may follow the one that failed last. */
  mayRetry (now: number): boolean {
    const { exchange, runs, attemptedServers } = this
    const { mostAttempts } = exchange.route
    if (exchange.deadline - now < MIN_ATTEMPT_MS || runs >= mostAttempts) {
      return false
    }
    return this.hasRun ? isRepeatable(exchange) : attemptedServers.length - runs < MAX_REJECTIONS
  }

  /** Updates the verdict; once it is `Ran`, it stays. */
  private raiseVerdict (verdict: Verdict): void {
    if (this.verdict !== Verdict.Ran) {
      this.verdict = verdict
    }
  }
}
