/** The running exchanges of an instance, so that a shutdown can wait for them. */
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { StepGuard } from '../attempts/stepGuard.js'
import type { Exchange } from '../model/exchange.js'
import type { CallerAnswer } from './callerAnswer.js'
import type { ExchangeContext } from './exchangeContext.js'
import { ExchangeRun } from './exchangeRun.js'

export class ExchangeRuns {
  private readonly runs = new Set<ExchangeRun>()

  private constructor (private readonly context: ExchangeContext) {}

  static create (context: ExchangeContext): ExchangeRuns {
    return new ExchangeRuns(context)
  }

  get size (): number {
    return this.runs.size
  }

  /**
   * Starts an exchange. One that is refused at once ends before this returns.
   * @param onOver receives the verdict: whether the request may have run.
   */
  start (exchange: Exchange, answer: CallerAnswer, onOver: (verdict: Verdict) => void = () => {}): void {
    const guard = StepGuard.create(error => {
      this.context.log.stepFailed(exchange, error)
      answer.fail(Failure.notRun(FailureCode.Internal, 'The request could not be begun because of an unexpected error.'))
      onOver(Verdict.NotRun)
    })
    const run: ExchangeRun | undefined = guard.run(() => ExchangeRun.create(this.context, exchange, answer, verdict => {
      this.runs.delete(run as ExchangeRun)
      onOver(verdict)
    }), undefined)
    if (run) {
      this.runs.add(run)
      run.begin()
    }
  }

  /** Abandons attempts that are silent because links of this instance are broken. */
  checkLinks (): void {
    this.runs.forEach(run => run.checkLink())
  }

  /** Refuses or cancels requests that are known to crash servers. */
  checkQuarantines (): void {
    this.runs.forEach(run => run.checkQuarantine())
  }

  /** Sends requests again that wait at servers with a cache salt that is no longer valid, as many as the retry budget allows. */
  checkCacheSalts (): void {
    const { clock, retries } = this.context
    const now = clock.now()
    // Read once for each service, since some retries are counted at once and others only when their server is chosen.
    const left = new Map<string, number>()
    this.runs.forEach(run => {
      const count = left.get(run.service) ?? retries.available(run.service, now)
      left.set(run.service, count >= 1 && run.withdrawOutdated() ? count - 1 : count)
    })
  }

  /** Fails the remaining exchanges when the time of a graceful shutdown is up. */
  abort (): void {
    this.runs.forEach(run => run.abort())
  }
}
