/** Keeps one exchange from crashing backend servers: refuses it once that is known, and lets a suspected one run as a trial only. */
import { Failure, FailureCode } from 'foxtaillever-core'
import { causesOf } from '../crashes/lostRequests.js'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'
import { findRefusal } from './findRefusal.js'

/** A request that waits for the trial of a suspected prompt level may come again after this, milliseconds: most trials end sooner. */
const TRIAL_RETRY_MS = 300

export class CrashGuard {
  private constructor (private readonly context: Pick<ExchangeContext, 'clock' | 'crashes'>, private readonly exchange: Exchange) {}

  static create (context: Pick<ExchangeContext, 'clock' | 'crashes'>, exchange: Exchange): CrashGuard {
    return new CrashGuard(context, exchange)
  }

  /** Why the exchange is not sent to any server; undefined where it is. */
  findRefusal (): Failure | undefined {
    return findRefusal(this.exchange, this.context.crashes, this.context.clock.now())
  }

  /** The same, only if it is known to crash servers. */
  findQuarantine (): Failure | undefined {
    const refusal = this.findRefusal()
    return refusal?.code === FailureCode.Quarantined ? refusal : undefined
  }

  /** Calls back with a failure if the exchange may not run now; at once unless a level of its prompt is suspected. */
  claimTrial (onDecided: (refusal: Failure | undefined) => void): void {
    const { context: { clock, crashes }, exchange } = this
    crashes.claimTrial(causesOf(exchange), exchange.service, isGranted => onDecided(isGranted
      ? this.findRefusal()
      : Failure.notRun(FailureCode.Overloaded, 'A level of the prompt was in flight at several crashes of backend servers; one request at a time tries it.', clock.now() + TRIAL_RETRY_MS)))
  }

  /** Whether a connection that was opened for the exchange may be used. */
  maySend (): boolean {
    return this.context.crashes.findQuarantine(causesOf(this.exchange)) === undefined
  }

  /** Whether the exchange may be sent again after its server was lost. */
  mayRetry (): boolean {
    return this.context.crashes.mayRetry(causesOf(this.exchange))
  }

  /** @param answeredAt when the answer that goes on began, milliseconds of Unix time. */
  recordProgress (answeredAt: number): void {
    this.context.crashes.recordProgress(causesOf(this.exchange), this.exchange.service, answeredAt)
  }
}
