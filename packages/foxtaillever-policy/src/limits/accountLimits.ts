/**
 * Limits of client accounts over all instances: a token bucket for the work a
 * second and a limit of concurrent requests, both for this instance's share.
 *
 * Without them one account's runaway script would fill every queue. Fair ordering
 * alone would let it use all idle capacity, beyond what its contract allows.
 */
import { Failure, FailureCode, type ClientAccount } from 'foxtaillever-core'
import { RecentMap } from '../collections/recentMap.js'
import type { ShareOfLimit } from './shareOfLimit.js'
import { TokenBucket } from './tokenBucket.js'

/** A limit a second is enforced over this time, since people work in bursts. */
const BURST_MS = 2000

const ACCOUNT_BOUND = 4096

/** Names of the rules, as explanations show them. */
export enum LimitRule {
  Tokens = 'account-tokens',
  Concurrency = 'account-concurrency'
}

interface AccountUse {
  readonly work: TokenBucket
  running: number
}

export interface LimitRejection {
  readonly rule: LimitRule
  readonly failure: Failure
}

export class AccountLimits {
  private readonly uses = RecentMap.create<AccountUse>(ACCOUNT_BOUND)

  private constructor (private readonly share: ShareOfLimit) {}

  static create (share: ShareOfLimit): AccountLimits {
    return new AccountLimits(share)
  }

  /** Undefined when the account may send one more request; nothing is counted yet. */
  check (account: ClientAccount, serviceMs: number, now: number): LimitRejection | undefined {
    const share = this.share.shareFor(account.name, now)
    const rate = account.tokensPerSecond * share / 1000
    const use = this.useOf(account.name, rate, now)
    if (use.running >= Math.max(1, Math.floor(account.concurrentRequests * share))) {
      const failure = Failure.notRun(FailureCode.AccountOverLimit, 'The client account has too many requests at once.', Math.ceil(now + serviceMs / use.running))
      return { rule: LimitRule.Concurrency, failure }
    }
    if (use.work.level < 0) {
      const failure = Failure.notRun(FailureCode.AccountOverLimit, 'The client account is over its tokens a second.', Math.ceil(now + use.work.msUntilAvailable(rate)))
      return { rule: LimitRule.Tokens, failure }
    }
    return undefined
  }

  /** Counts an accepted request; a large one may leave the bucket in debt. */
  recordStart (account: string, tokens: number): void {
    const use = this.uses.get(account)
    if (use) {
      use.work.take(tokens)
      use.running += 1
    }
  }

  /** Records that the request ended: refunds the tokens that it did not use, or charges those beyond the estimate. */
  recordEnd (account: string, estimatedTokens: number, usedTokens: number): void {
    const use = this.uses.peek(account)
    if (use) {
      use.work.refund(estimatedTokens - usedTokens)
      use.running = Math.max(0, use.running - 1)
    }
  }

  private useOf (account: string, rate: number, now: number): AccountUse {
    const burst = rate * BURST_MS
    const use = this.uses.get(account) ?? { work: TokenBucket.create(burst, now), running: 0 }
    use.work.fill(rate, burst, now)
    this.uses.set(account, use)
    return use
  }
}
