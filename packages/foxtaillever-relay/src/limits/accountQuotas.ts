/** Checks the cost of each exchange against the quota of its client account. */
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { LimitOutcome, RetryOrder, type LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { Exchange } from '../model/exchange.js'
import { QuotaUnit, type RelayQuota } from '../model/routing.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LimitScope } from './limitMessage.js'
import type { LimitKind, LimitProtocol, LimitResult } from './limitProtocol.js'

/** Longest wait for a decision, milliseconds: the spread of the start times of instances that start together. */
const MAX_WAIT_MS = 500

export function createQuotaKind (tolerance: LimitTolerance): LimitKind {
  return { scope: LimitScope.Account, tolerance, retryOrder: RetryOrder.InTurn, maxWaitMs: MAX_WAIT_MS }
}

export interface AccountQuotasOptions {
  readonly clock: Clock
  readonly protocol: () => Pick<LimitProtocol, 'claim' | 'refund'>
  readonly log: Pick<RelayLog, 'quotaRefused'>
  /** Revision of the configuration in force. */
  readonly revision: () => number
}

/** What an exchange costs its account, by the unit of the quota. */
const costOf: Readonly<Record<QuotaUnit, (exchange: Exchange, quota: RelayQuota) => number>> = {
  [QuotaUnit.Requests]: () => 1,
  [QuotaUnit.Tokens]: ({ prompt }, { unmeasuredTokens }) => (prompt && prompt.promptTokens + prompt.outputTokens) || unmeasuredTokens
}

/** For exchanges whose quota has been checked elsewhere: admits all. */
export const noQuotas: Pick<AccountQuotas, 'admit' | 'refund'> = { admit: (_, onDecided) => onDecided(), refund: () => {} }

export class AccountQuotas {
  private constructor (private readonly options: AccountQuotasOptions) {}

  static create (options: AccountQuotasOptions): AccountQuotas {
    return new AccountQuotas(options)
  }

  /** Claims the cost of the exchange; calls back once decided, with a failure if the exchange may not run. */
  admit (exchange: Exchange, onDecided: (refusal?: Failure) => void): void {
    const quota = exchange.account?.quota
    if (!exchange.account || !quota) {
      onDecided()
      return
    }
    const { clock, protocol, log, revision } = this.options
    const { name } = exchange.account
    const cost = costOf[quota.unit](exchange, quota)
    const claimedAt = clock.now()
    protocol().claim({ key: name, cost, limit: { perSecond: quota.perSecond, burst: quota.burst, revision: revision() } }, result => {
      if (result.outcome === LimitOutcome.Granted) {
        onDecided()
        return
      }
      log.quotaRefused(exchange, result, cost, claimedAt, clock.now())
      onDecided(this.createRefusal(result))
    })
  }

  /** Returns the cost of an exchange that was counted but did not run. */
  refund (exchange: Exchange): void {
    const { account } = exchange
    if (account?.quota) {
      this.options.protocol().refund(account.name, costOf[account.quota.unit](exchange, account.quota))
    }
  }

  private createRefusal ({ outcome, retryAt }: LimitResult): Failure {
    return outcome === LimitOutcome.Refused
      ? Failure.notRun(FailureCode.AccountOverLimit, 'The client account is over its quota.', retryAt)
      : Failure.notRun(FailureCode.QuotaUnknown, 'Nobody who decides on the quota of the client account answers.', earliestRetryTime(FailureCode.QuotaUnknown, this.options.clock.now()))
  }
}
