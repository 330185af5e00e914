/** Faults and slowness of backend servers as a cost of placing work there. */
import { describe, it } from 'foxtaillever-testing'
import { ServerHealth } from '../serverHealth.js'
import { awaitFirstUntil } from '../silence.js'
import { UsualTime } from '../usualTime.js'

describe('health of backend servers', () => {
  // A server fails half of what it gets while its probe says that it is well.
  // Nothing else shows it, and half of its callers get an error.
  it('makes a server that fails much cost more than one more request waiting elsewhere', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 6; index++) {
      health.observeBad(index * 100)
      health.observeGood(index * 100, 1)
    }
    t.true(health.cost(600, 0.1) > 100)
  })

  // An application answers a seventh of its requests with errors of its own, on
  // all servers alike. Moving work about for that would help nobody.
  it('costs nothing where all fail alike', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 20; index++) {
      health.observeBad(index * 10)
    }
    t.is(health.cost(200, health.faultShare(200)), 0)
  })

  it('fades, so that work comes back by itself', t => {
    const health = ServerHealth.create()
    for (let index = 0; index < 5; index++) {
      health.observeBad(0)
    }
    const costs = [0, 3000, 6000, 12_000, 30_000].map(at => health.cost(at, 0))
    t.deepEqual(costs, [...costs].sort((one, other) => other - one))
    t.true((costs[4] as number) < 5)
  })

  it('makes a slow server cost more, and one large answer not', t => {
    const [slow, ordinary] = [ServerHealth.create(), ServerHealth.create()]
    for (let index = 0; index < 5; index++) {
      slow.observeGood(0, 8)
    }
    ordinary.observeGood(0, 8)
    t.true(slow.cost(0, 0) > 100)
    t.is(ordinary.cost(0, 0), 0)
  })
})

describe('patience with a silent server', () => {
  // A burst makes every server slow. Taken for silence, it would make each
  // request come twice, just then.
  it('grows with what is usual at the time, and leaves time for another try', t => {
    const usual = UsualTime.create()
    const calm = { sentAt: 0, deadline: 10_000, objectiveMs: 100, usualMs: usual.value }
    t.is(awaitFirstUntil(calm), 200)
    for (let index = 0; index < 100; index++) {
      usual.observe(300)
    }
    t.true(awaitFirstUntil({ ...calm, usualMs: usual.value }) > 1500)
    t.is(awaitFirstUntil({ ...calm, deadline: 300 }), 120)
  })
})
