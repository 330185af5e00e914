import { hashNumber } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { EngineFleet } from '../../bench/engineFleet.js'
import { LoadKnowledge, type FleetOutcome } from '../../bench/fleetShape.js'
import { ComputedWatchers, watchersOf } from '../computedWatchers.js'
import { decayLoad, estimateSum } from '../serverLoad.js'

/** Simulates seventy instances and forty-two engines at one and a half times their usual load. */
function simulate (knowledge: LoadKnowledge, seed: number, linkRate: number): FleetOutcome {
  return EngineFleet.simulate({ instances: 70, engines: 42, rate: 600, linkRate, knowledge, isLinkCharged: true, loss: 0.025, seed })
}

/** Tokens a millisecond: no fetch waits. */
const WIDE_LINK = 5000

/** Tokens a millisecond of a store at 525 Gbit/s, twice as long between failure domains: enough for a third of the levels. */
const NARROW_LINK = 200

describe('a large fleet', () => {
  for (const seed of [1, 2, 3]) {
    // An instance uses each engine every few seconds and learns of the others' load after it has ended. It skips idle
    // homes for busy engines, and callers wait behind each other.
    it(`lets callers wait less when instances query the load before they choose, seed ${seed}`, t => {
      const beats = simulate(LoadKnowledge.Heartbeats, seed, WIDE_LINK)
      const asked = simulate(LoadKnowledge.Queried, seed, WIDE_LINK)
      t.log(JSON.stringify({ beats, asked }))
      t.true(asked.p99 < beats.p99 * 0.8)
    })

    // Each request that avoids a short wait at its home has its level fetched. The store's link fills, and then two levels
    // in three are read again, which costs more than the requests earn.
    it(`keeps levels at their homes while the store's link is busy, seed ${seed}`, t => {
      const asked = simulate(LoadKnowledge.Queried, seed, NARROW_LINK)
      t.log(JSON.stringify({ asked }))
      t.true(asked.repeatedShare < 0.45)
      t.true(asked.p50 < 50)
    })
  }

  // Half of the reports are seconds old, while fetches last a quarter of a second: the sum of all would show an idle link
  // as busy, and the other way round.
  it('estimates the total load from recent reports', t => {
    const reports = [{ amount: 0, ageMs: 3000 }, { amount: 4000, ageMs: 20 }, { amount: 2000, ageMs: 20 }, { amount: 0, ageMs: 2500 }]
    const sum = estimateSum(reports, 80)
    t.true(sum > 0.95 * 240_000 && sum < 240_000)
    t.is(estimateSum([], 80), 0)
  })

  it('gives little weight to an old report', t => {
    const { outstanding, tokens } = decayLoad({ outstanding: 8, tokens: 8000, heldTokens: 0 }, 400)
    t.is(outstanding, 4)
    t.is(tokens, 500)
  })

  // Watchers are cached between load reports. If the cache outlived a change of members, reports would be sent to an
  // instance that is gone.
  it('caches the watchers of a server until the members change', t => {
    const addresses = Array.from({ length: 70 }, (_, index) => `10.0.0.${index}:7340`)
    const watchers = ComputedWatchers.create()
    watchers.setMembers(addresses)
    const [first = '', second] = watchers.of(4711)
    t.deepEqual(watchers.of(4711), watchersOf(4711, addresses.map(address => ({ address, hash: hashNumber(address) }))).map(({ address }) => address))
    watchers.setMembers([...addresses])
    t.is(watchers.of(4711), watchers.of(4711))
    watchers.setMembers(addresses.filter(address => address !== first))
    t.is(watchers.of(4711)[0], second)
    t.is(watchers.of(4711).length, 2)
  })

  // An instance crashes. If the watchers of all engines changed with it, no instance would know their load for a second.
  it('changes the watchers of few engines when an instance goes', t => {
    const instances = Array.from({ length: 70 }, (_, index) => ({ address: `a${index}`, hash: Math.imul(index + 1, 2_654_435_761) >>> 0 }))
    const engines = Array.from({ length: 420 }, (_, index) => Math.imul(index + 1, 40_503) >>> 0)
    const moved = engines.filter(engine => watchersOf(engine, instances)[0] !== watchersOf(engine, instances.slice(1))[0])
    t.true(moved.length > 0 && moved.length < 30, `${moved.length} of 420`)
    moved.forEach(engine => t.is(watchersOf(engine, instances.slice(1))[0], watchersOf(engine, instances)[1]))
  })
})
