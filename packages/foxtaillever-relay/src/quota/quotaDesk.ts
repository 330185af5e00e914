/** Asks for each exchange whether its client account may use what it costs. */
import { Failure, FailureCode, type Clock } from 'foxtaillever-core'
import { QuotaOutcome } from 'foxtaillever-policy/limits/quotaBook'
import { comeBackAt } from 'foxtaillever-policy/relay/comeBack'
import type { Exchange } from '../model/exchange.js'
import { QuotaUnit, type RelayQuota } from '../model/routing.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { QuotaTalk, QuotaWord } from './quotaTalk.js'

export interface QuotaDeskOptions {
  readonly clock: Clock
  readonly talk: () => Pick<QuotaTalk, 'claim' | 'giveBack'>
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
export const noQuota: Pick<QuotaDesk, 'admit' | 'giveBack'> = { admit: (_, go) => go(), giveBack: () => {} }

export class QuotaDesk {
  private constructor (private readonly options: QuotaDeskOptions) {}

  static create (options: QuotaDeskOptions): QuotaDesk {
    return new QuotaDesk(options)
  }

  /** Goes on when it is decided, with the failure of a request that may not run. */
  admit (exchange: Exchange, go: (refusal?: Failure) => void): void {
    const quota = exchange.account?.quota
    if (!exchange.account || !quota) {
      go()
      return
    }
    const { clock, talk, log, revision } = this.options
    const { name } = exchange.account
    const cost = costOf[quota.unit](exchange, quota)
    const askedAt = clock.now()
    talk().claim({ account: name, cost, limit: { perSecond: quota.perSecond, burst: quota.burst, revision: revision() } }, word => {
      if (word.outcome === QuotaOutcome.Granted) {
        go()
        return
      }
      log.quotaRefused(exchange, word, cost, askedAt, clock.now())
      go(this.refusalOf(word))
    })
  }

  /** It was counted, and has not run. */
  giveBack (exchange: Exchange): void {
    const { account } = exchange
    if (account?.quota) {
      this.options.talk().giveBack(account.name, costOf[account.quota.unit](exchange, account.quota))
    }
  }

  private refusalOf ({ outcome, retryAt }: QuotaWord): Failure {
    return outcome === QuotaOutcome.Refused
      ? Failure.notRun(FailureCode.AccountOverLimit, 'The client account is over its quota.', retryAt)
      : Failure.notRun(FailureCode.QuotaUnknown, 'Nobody who decides on the quota of the client account answers.', comeBackAt(FailureCode.QuotaUnknown, this.options.clock.now()))
  }
}
