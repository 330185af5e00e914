/**
 * What the tries of one exchange came to. The verdict that its caller hears and
 * whether another try is allowed follow from all of them, not from the last.
 */
import { Verdict, type FailureCode } from 'foxtaillever-core'
import { AttemptFailureKind, meaningOf } from '../attempts/attemptFailure.js'
import { isRepeatable, type Exchange } from '../model/exchange.js'

/** Servers that may reject one exchange before its caller is told to come back. */
const MOST_REJECTIONS = 3

/** Least time left for which another try is made, milliseconds. */
const LEAST_TRY_MS = 20

export class TryLedger {
  /** Servers that had the request, each in turn. */
  readonly tried: string[] = []
  /** Servers that failed it; they do not get it again. */
  readonly failed = new Set<string>()
  /** A server was not what it was thought to be. */
  wasMisdirected = false
  /** Of all tries together. */
  verdict = Verdict.NotRun
  /** Tries that arrived at a server; each but the first counts as a retry. */
  arrivals = 0
  /** Of the last try that ran or may have run: it says more than that no further try can be made. */
  ranCode: FailureCode | undefined
  /** Tries that ran or may have run. */
  private runs = 0
  private hasRun = false

  private constructor (private readonly exchange: Exchange) {}

  static create (exchange: Exchange): TryLedger {
    return new TryLedger(exchange)
  }

  /** Whether one more server may run it. */
  get hasTriesLeft (): boolean {
    return this.runs + 1 < this.exchange.route.mostAttempts
  }

  begin (server: string): void {
    this.tried.push(server)
  }

  /** A try failed; a part of its answer may have reached the caller. */
  observe (server: string, kind: AttemptFailureKind, wasHeard: boolean): void {
    const { verdict, code, isArrival } = meaningOf[kind]
    this.failed.add(server)
    this.wasMisdirected ||= kind === AttemptFailureKind.Misdirected
    this.arrivals += isArrival ? 1 : 0
    this.hasRun = verdict !== Verdict.NotRun
    if (this.hasRun) {
      this.runs += 1
      this.ranCode = code
      this.strengthen(wasHeard ? Verdict.Ran : verdict)
    }
  }

  /** A try ends with no word from its server. */
  observeCut (mayHaveArrived: boolean): void {
    if (mayHaveArrived) {
      this.strengthen(Verdict.MayHaveRun)
    }
  }

  /** Whether another try may follow the one that failed last. */
  mayTryAgain (now: number): boolean {
    const { exchange, runs, tried } = this
    const { mostAttempts } = exchange.route
    if (exchange.deadline - now < LEAST_TRY_MS || runs >= mostAttempts) {
      return false
    }
    return this.hasRun ? isRepeatable(exchange) : tried.length - runs < MOST_REJECTIONS
  }

  /** A verdict is never taken back: what ran once has run. */
  private strengthen (verdict: Verdict): void {
    if (this.verdict !== Verdict.Ran) {
      this.verdict = verdict
    }
  }
}
