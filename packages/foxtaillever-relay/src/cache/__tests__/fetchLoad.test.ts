import { hashNumber } from 'foxtaillever-core'
import { transferExpiresAt, type StoreLink } from 'foxtaillever-policy/relay/storeLink'
import { describe, it } from 'foxtaillever-testing'
import { FetchLoad } from '../fetchLoad.js'

describe('FetchLoad', () => {
  // Engines in trouble keep requests waiting for many seconds, long after their levels were fetched. If each counted
  // until it is answered, the store's link would look full while it is idle; then more levels are read again, the
  // queues grow, and callers wait ever longer.
  it('counts a transfer no longer than it can take, however late the answer', t => {
    const load = FetchLoad.create(() => 0)
    for (let request = 0; request < 100; request++) {
      const now = request * 100
      const link = { tokensInTransit: load.tokensAt('store', now), tokensPerMs: 400 }
      load.begin('store', 3780, transferExpiresAt(link, 3780, now))
    }
    t.true(load.tokensAt('store', 10_000) <= 3780, 'the link could carry ten times as much')
    t.is(load.tokensAt('store', 10_200), 0)
    t.deepEqual(load.own(10_200), [])
  })

  // More is asked for than the link carries. Each transfer waits for those before it, and must count for as long.
  it('counts transfers that wait for the link until their turn is over, for two seconds at the most', t => {
    const load = FetchLoad.create(() => 0)
    const link = (): StoreLink => ({ tokensInTransit: load.tokensAt('store', 0), tokensPerMs: 10 })
    for (let request = 0; request < 10; request++) {
      load.begin('store', 3780, transferExpiresAt(link(), 3780, 0))
    }
    t.is(load.tokensAt('store', 500), 10 * 3780)
    t.is(load.tokensAt('store', 1900), 8 * 3780)
    t.is(load.tokensAt('store', 2000), 0)
  })

  it('counts each store by itself, with what the others told', t => {
    const load = FetchLoad.create(store => store === 'a' ? 500 : 0)
    const transfer = load.begin('a', 1000, 2000)
    load.begin('b', 30, 2000)
    t.is(load.tokensAt('a', 1), 1500)
    t.is(load.tokensAt('b', 1), 30)
    t.deepEqual(load.own(1), [{ server: hashNumber('a'), outstanding: 1, tokens: 1000, heldTokens: 0 }, { server: hashNumber('b'), outstanding: 1, tokens: 30, heldTokens: 0 }])
    load.end(transfer)
    t.is(load.tokensAt('a', 1), 500)
  })
})
