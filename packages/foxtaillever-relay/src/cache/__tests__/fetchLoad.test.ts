import { hashNumber } from 'foxtaillever-core'
import { transferExpiresAt, type StoreLink } from 'foxtaillever-policy/relay/storeLink'
import { describe, it } from 'foxtaillever-testing'
import { FetchLoad } from '../fetchLoad.js'

describe('FetchLoad', () => {
  // Slow engines keep requests waiting for many seconds, long after their levels were fetched. If each transfer counted
  // until its request is answered, the store's link would look full while it is idle; more levels would be recomputed,
  // and the queues and waits would grow.
  it('counts a transfer no longer than it can take, however late the answer', t => {
    const load = FetchLoad.create(() => 0)
    for (let request = 0; request < 100; request++) {
      const now = request * 100
      const link = { tokensInTransit: load.tokensInTransit('store', now), tokensPerMs: 400 }
      load.beginTransfer('store', 3780, transferExpiresAt(link, 3780, now))
    }
    t.true(load.tokensInTransit('store', 10_000) <= 3780, 'the link could transfer ten times as much')
    t.is(load.tokensInTransit('store', 10_200), 0)
    t.deepEqual(load.ownLoads(10_200), [])
  })

  // More is requested than the link can transfer. Each transfer waits for those before it and must count while it waits.
  it('counts transfers that wait for the link until they are complete, for at most two seconds', t => {
    const load = FetchLoad.create(() => 0)
    const link = (): StoreLink => ({ tokensInTransit: load.tokensInTransit('store', 0), tokensPerMs: 10 })
    for (let request = 0; request < 10; request++) {
      load.beginTransfer('store', 3780, transferExpiresAt(link(), 3780, 0))
    }
    t.is(load.tokensInTransit('store', 500), 10 * 3780)
    t.is(load.tokensInTransit('store', 1900), 8 * 3780)
    t.is(load.tokensInTransit('store', 2000), 0)
  })

  it('counts each store separately, including what other instances reported', t => {
    const load = FetchLoad.create(store => store === 'a' ? 500 : 0)
    const transfer = load.beginTransfer('a', 1000, 2000)
    load.beginTransfer('b', 30, 2000)
    t.is(load.tokensInTransit('a', 1), 1500)
    t.is(load.tokensInTransit('b', 1), 30)
    t.deepEqual(load.ownLoads(1), [{ server: hashNumber('a'), outstanding: 1, tokens: 1000, heldTokens: 0 }, { server: hashNumber('b'), outstanding: 1, tokens: 30, heldTokens: 0 }])
    load.endTransfer(transfer)
    t.is(load.tokensInTransit('a', 1), 500)
  })
})
