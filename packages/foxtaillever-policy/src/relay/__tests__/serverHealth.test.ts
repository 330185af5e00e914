/** Faults and slowness of backend servers as a cost of placement. */
import { describe, it } from 'foxtaillever-testing'
import { ServerHealth } from '../serverHealth.js'
import { firstEventTimeoutAt } from '../answerTimeout.js'
import { UsualTime } from '../usualTime.js'

describe('health of backend servers', () => {
  // A server fails half of its requests while its probe succeeds. Only the
  // outcomes show it, and half of its callers get an error.
  it('makes a server that often fails cost more than one more request waiting elsewhere', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 6; index++) {
      health.recordFailure(index * 100)
      health.recordSuccess(index * 100, 1)
    }
    t.true(health.cost(600, 0.1) > 100)
  })

  // An application answers a seventh of its requests with its own errors, on all
  // servers alike. Moving work between servers would not help.
  it('costs nothing where all servers fail alike', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 20; index++) {
      health.recordFailure(index * 10)
    }
    t.is(health.cost(200, health.faultShare(200)), 0)
  })

  it('decays, so that a server gradually gets work again', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 5; index++) {
      health.recordFailure(0)
    }
    const costs = [0, 3000, 6000, 12_000, 30_000].map(at => health.cost(at, 0))
    t.deepEqual(costs, [...costs].sort((a, b) => b - a))
    t.true((costs[4] as number) < 5)
  })

  it('makes a slow server cost more, but not one with a single large answer', t => {
    const [slow, ordinary] = [ServerHealth.create(), ServerHealth.create()]
    for (let index = 0; index < 5; index++) {
      slow.recordSuccess(0, 8)
    }
    ordinary.recordSuccess(0, 8)
    t.true(slow.cost(0, 0) > 100)
    t.is(ordinary.cost(0, 0), 0)
  })
})

describe('the timeout of a silent server', () => {
  // A burst makes every server slow. If slow answers counted as silence, each
  // request would be sent twice during the burst.
  it('grows with the usual time, and leaves time for another attempt', t => {
    const usual = UsualTime.create()
    const calm = { sentAt: 0, deadline: 10_000, objectiveMs: 100, usualMs: usual.value }
    t.is(firstEventTimeoutAt(calm), 200)
    for (let index = 0; index < 100; index++) {
      usual.addSample(300)
    }
    t.true(firstEventTimeoutAt({ ...calm, usualMs: usual.value }) > 1500)
    t.is(firstEventTimeoutAt({ ...calm, deadline: 300 }), 120)
  })
})
