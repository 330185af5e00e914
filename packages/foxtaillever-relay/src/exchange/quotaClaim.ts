/** Counts an exchange against the quota of its client account, and gives the cost back if it has not run. */
import type { Failure } from 'foxtaillever-core'
import type { Exchange } from '../model/exchange.js'
import type { ExchangeContext } from './exchangeContext.js'

export class QuotaClaim {
  private isCounted = false

  private constructor (private readonly quota: ExchangeContext['quota'], private readonly exchange: Exchange) {}

  static create (quota: ExchangeContext['quota'], exchange: Exchange): QuotaClaim {
    return new QuotaClaim(quota, exchange)
  }

  /** Calls back once the quota has admitted or refused the exchange. */
  claim (onDecided: (refusal?: Failure) => void): void {
    this.quota.admit(this.exchange, refusal => {
      this.isCounted = refusal === undefined
      onDecided(refusal)
    })
  }

  /** Gives the cost back, once, where the exchange has not run. */
  settle (hasRun: boolean): void {
    const isOwed = this.isCounted && !hasRun
    this.isCounted = false
    if (isOwed) {
      this.quota.refund(this.exchange)
    }
  }
}
