/** Asks for each exchange whether its client account may use what it costs. */
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { LimitOutcome, RetryOrder, type LimitTolerance } from 'foxtaillever-policy/limits/sharedLimitLedger'
import { earliestRetryTime } from 'foxtaillever-policy/relay/earliestRetryTime'
import type { Exchange } from '../model/exchange.js'
import { QuotaUnit, type RelayQuota } from '../model/routing.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { LimitScope } from './limitMessage.js'
import type { LimitKind, LimitProtocol, LimitResult } from './limitProtocol.js'

/** Nobody waits longer for a decision, milliseconds: as long as instances that all start at once differ. */
const MOST_WAIT_MS = 500

export function createQuotaKind (tolerance: LimitTolerance): LimitKind {
  return { scope: LimitScope.Account, tolerance, returnOrder: RetryOrder.InTurn, mostWaitMs: MOST_WAIT_MS }
}

export interface AccountQuotasOptions {
  readonly clock: Clock
  readonly protocol: () => Pick<LimitProtocol, 'claim' | 'giveBack'>
  readonly log: Pick<RelayLog, 'quotaRefused'>
  /** Of the configuration in force. */
  readonly revision: () => number
}

/** What an exchange takes of its account's quota, by the quota's unit. */
const costOf: Readonly<Record<QuotaUnit, (exchange: Exchange, quota: RelayQuota) => number>> = {
  [QuotaUnit.Requests]: () => 1,
  [QuotaUnit.Tokens]: ({ prompt }, { unmeasuredTokens }) => (prompt && prompt.promptTokens + prompt.outputTokens) || unmeasuredTokens
}

/** Of exchanges whose quota somebody else has looked at. */
export const noQuotas: Pick<AccountQuotas, 'admit' | 'giveBack'> = { admit: (_, go) => go(), giveBack: () => {} }

export class AccountQuotas {
  private constructor (private readonly options: AccountQuotasOptions) {}

  static create (options: AccountQuotasOptions): AccountQuotas {
    return new AccountQuotas(options)
  }

  /** Goes on when it is decided, with the failure of a request that may not run. */
  admit (exchange: Exchange, go: (refusal?: Failure) => void): void {
    const quota = exchange.account?.quota
    if (!exchange.account || !quota) {
      go()
      return
    }
    const { clock, protocol, log, revision } = this.options
    const { name } = exchange.account
    const cost = costOf[quota.unit](exchange, quota)
    const askedAt = clock.now()
    protocol().claim({ key: name, cost, limit: { perSecond: quota.perSecond, burst: quota.burst, revision: revision() } }, result => {
      if (result.outcome === LimitOutcome.Granted) {
        go()
        return
      }
      log.quotaRefused(exchange, result, cost, askedAt, clock.now())
      go(this.refusalOf(result))
    })
  }

  /** It was counted, and has not run. */
  giveBack (exchange: Exchange): void {
    const { account } = exchange
    if (account?.quota) {
      this.options.protocol().giveBack(account.name, costOf[account.quota.unit](exchange, account.quota))
    }
  }

  private refusalOf ({ outcome, retryAt }: LimitResult): Failure {
    return outcome === LimitOutcome.Refused
      ? Failure.notRun(FailureCode.AccountOverLimit, 'The client account is over its quota.', retryAt)
      : Failure.notRun(FailureCode.QuotaUnknown, 'Nobody who decides on the quota of the client account answers.', earliestRetryTime(FailureCode.QuotaUnknown, this.options.clock.now()))
  }
}
