import { hashNumber } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { FetchLoad } from '../fetchLoad.js'

describe('FetchLoad', () => {
  // Engines in trouble keep requests waiting for many seconds, long after their levels were fetched. If each counted
  // until it is answered, the store's link would look full while it is idle; then more levels are read again, the
  // queues grow, and callers wait ever longer.
  it('counts a transfer no longer than it can take, however late the answer', t => {
    const load = FetchLoad.create(() => 0)
    for (let request = 0; request < 100; request++) {
      load.begin('store', 3780, request * 100)
    }
    t.is(load.tokensAt('store', 10_000), 19 * 3780)
    t.is(load.tokensAt('store', 11_900), 0)
    t.deepEqual(load.own(11_900), [])
  })

  it('counts each store by itself, with what the others told', t => {
    const load = FetchLoad.create(store => store === 'a' ? 500 : 0)
    const transfer = load.begin('a', 1000, 0)
    load.begin('b', 30, 0)
    t.is(load.tokensAt('a', 1), 1500)
    t.is(load.tokensAt('b', 1), 30)
    t.deepEqual(load.own(1), [{ server: hashNumber('a'), outstanding: 1, tokens: 1000, heldTokens: 0 }, { server: hashNumber('b'), outstanding: 1, tokens: 30, heldTokens: 0 }])
    load.end(transfer)
    t.is(load.tokensAt('a', 1), 500)
  })
})
