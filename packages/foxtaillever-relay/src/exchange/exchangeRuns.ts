/** The running exchanges of an instance, so that a shutdown can wait for them. */
import type { Verdict } from 'foxtaillever-core'
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
    const run = ExchangeRun.create(this.context, exchange, answer, verdict => {
      this.runs.delete(run)
      onOver(verdict)
    })
    this.runs.add(run)
    run.begin()
  }

  /** Abandons attempts that are silent because links of this instance are broken. */
  checkLinks (): void {
    this.runs.forEach(run => run.checkLink())
  }

  /** Refuses or cancels requests that are known to crash servers. */
  checkQuarantines (): void {
    this.runs.forEach(run => run.checkQuarantine())
  }

  /** Fails the remaining exchanges when the time of a graceful shutdown is up. */
  abort (): void {
    this.runs.forEach(run => run.abort())
  }
}
