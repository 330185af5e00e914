import { FailureCode, PriorityClass, type ClientAccount } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { AccountLimits, LimitRule } from '../limits/accountLimits.js'
import { DemandShare } from '../limits/shareOfLimit.js'
import { SuspectTable, Suspicion } from '../suspects/suspectTable.js'

const NOW = 1_000_000

const account: ClientAccount = { name: 'coop', keyDigests: [], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 1000, concurrentRequests: 4 }

describe('what instances share', () => {
  describe('the share of a limit', () => {
    // The load balancer sends nearly all of an account's requests to one of ten
    // instances. With an even share, the account would be refused at a tenth of its
    // limit.
    it('follows demand, and is even while no peer has announced its demand', t => {
      const share = DemandShare.create()
      share.setInstances(2)
      share.recordDemand('coop', 900, NOW)
      t.is(share.shareFor('coop', NOW), 0.5)
      share.recordPeerDemand('peer', [{ account: 'coop', tokensPerSecond: 20 }], NOW + 3000)
      t.true(share.shareFor('coop', NOW) > 0.85)
      t.is(share.shareFor('coop', NOW + 3000), 0.5)
    })

    it('leaves room for instances that have not announced their demand', t => {
      const share = DemandShare.create()
      share.setInstances(4)
      share.recordDemand('coop', 900, NOW)
      share.recordPeerDemand('peer', [], NOW + 3000)
      t.is(share.shareFor('coop', NOW), 0.5)
    })

    it('is announced to peers only for accounts near their limit', t => {
      const share = DemandShare.create()
      share.setInstances(2)
      share.recordDemand('coop', 5000, NOW)
      share.recordDemand('quiet', 5, NOW)
      t.deepEqual(share.demandsToAnnounce(() => 1000, NOW).map(({ account: name }) => name), ['coop'])
    })
  })

  describe('the limits of an account', () => {
    it('refuse until the stated retry time', t => {
      const limits = AccountLimits.create(DemandShare.create())
      t.is(limits.check(account, 100, NOW), undefined)
      limits.recordStart('coop', 3000)
      const refusal = limits.check(account, 100, NOW)
      t.is(refusal?.rule, LimitRule.Tokens)
      t.is(refusal?.failure.code, FailureCode.AccountOverLimit)
      const retryAt = refusal?.failure.retryAt ?? 0
      t.not(limits.check(account, 100, retryAt - 10), undefined)
      t.is(limits.check(account, 100, retryAt), undefined)
    })

    it('count concurrent requests, and refund unused tokens', t => {
      const limits = AccountLimits.create(DemandShare.create())
      for (let index = 0; index < 4; index += 1) {
        t.is(limits.check(account, 100, NOW), undefined)
        limits.recordStart('coop', 400)
      }
      t.is(limits.check(account, 100, NOW)?.rule, LimitRule.Concurrency)
      limits.recordEnd('coop', 400, 0)
      t.is(limits.check(account, 100, NOW), undefined)
    })
  })

  describe('suspects', () => {
    // The network between a router and two servers fails for a moment. The requests
    // in flight look as if they had crashed the servers, but none did.
    it('are cleared when the same engine is still running', t => {
      const suspects = SuspectTable.create()
      suspects.recordLoss('one', 'server-1', 'a', NOW)
      suspects.recordLoss('one', 'server-2', 'b', NOW + 10)
      t.is(suspects.suspicionOf('one', NOW + 20), Suspicion.Quarantined)
      suspects.recordIncarnation('server-1', 'a', NOW + 1000, NOW + 1100)
      t.is(suspects.suspicionOf('one', NOW + 1100), Suspicion.Suspect)
      suspects.recordIncarnation('server-2', 'c', NOW + 1000, NOW + 1100)
      t.is(suspects.suspicionOf('one', NOW + 1100), Suspicion.Suspect)
      suspects.clearSuspicion('one', NOW + 1200)
      t.is(suspects.suspicionOf('one', NOW + 1200), Suspicion.None)
    })

    // The caller sends the crashing request through another instance each time.
    it('are the same for all instances, in whatever order they receive the facts', t => {
      const [first, second] = [SuspectTable.create(), SuspectTable.create()]
      first.recordLoss('bad', 'server-1', 'a', NOW)
      second.recordLoss('bad', 'server-2', 'b', NOW)
      const facts = [...first.factsToAnnounce(NOW), ...second.factsToAnnounce(NOW)]
      first.receiveFacts(facts, NOW)
      second.receiveFacts([...facts].reverse(), NOW)
      first.receiveFacts(facts, NOW)
      t.is(first.suspicionOf('bad', NOW), Suspicion.Quarantined)
      t.is(second.suspicionOf('bad', NOW), Suspicion.Quarantined)
      t.is(first.suspicionOf('bad', NOW + 600_000), Suspicion.None)
    })
  })
})
