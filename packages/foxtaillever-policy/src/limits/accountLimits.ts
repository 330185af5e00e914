/**
 * Limits of client accounts over all instances: a token bucket for the work a
 * second and a count of requests at once, both for this instance's share.
 *
 * Without them one account's runaway script fills every queue, and fair order
 * alone lets it keep all idle capacity that its contract does not give it.
 */
import { Failure, FailureCode, type ClientAccount } from 'foxtaillever-core'
import { RecentMap } from '../collections/recentMap.js'
import type { ShareOfLimit } from './shareOfLimit.js'
import { TokenBucket } from './tokenBucket.js'

/** A limit a second is kept over this time; people read and click in bursts. */
const BURST_MS = 2000

const ACCOUNT_BOUND = 4096

/** Names of the rules, as explanations give them. */
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

  /** Undefined when the account may send one more; nothing is taken yet. */
  check (account: ClientAccount, serviceMs: number, now: number): LimitRejection | undefined {
    const share = this.share.shareFor(account.name, now)
    const rate = account.tokensPerSecond * share / 1000
    const use = this.fill(account.name, rate, now)
    if (use.running >= Math.max(1, Math.floor(account.concurrentRequests * share))) {
      const failure = Failure.notRun(FailureCode.AccountOverLimit, 'The client account has too many requests at once.', Math.ceil(now + serviceMs / use.running))
      return { rule: LimitRule.Concurrency, failure }
    }
    if (use.work.level < 0) {
      const failure = Failure.notRun(FailureCode.AccountOverLimit, 'The client account is over its tokens a second.', Math.ceil(now + use.work.emptyForMs(rate)))
      return { rule: LimitRule.Tokens, failure }
    }
    return undefined
  }

  /** The request was taken in; a large one may leave the bucket in debt. */
  take (account: string, tokens: number): void {
    const use = this.uses.get(account)
    if (use) {
      use.work.take(tokens)
      use.running += 1
    }
  }

  /** The request ended; what it did not use goes back, what it used besides is owed. */
  settle (account: string, estimatedTokens: number, usedTokens: number): void {
    const use = this.uses.peek(account)
    if (use) {
      use.work.giveBack(estimatedTokens - usedTokens)
      use.running = Math.max(0, use.running - 1)
    }
  }

  private fill (account: string, rate: number, now: number): AccountUse {
    const most = rate * BURST_MS
    const use = this.uses.get(account) ?? { work: TokenBucket.create(most, now), running: 0 }
    use.work.fill(rate, most, now)
    this.uses.set(account, use)
    return use
  }
}
