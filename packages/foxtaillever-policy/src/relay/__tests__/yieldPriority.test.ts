/**
 * For some seconds more prompts come than the engines can read. Each waits its turn
 * behind all before it, the queue outgrows the objective, and from then on nearly
 * every caller waits too long, though half of them could have been served in time.
 */
import { describe, it } from 'foxtaillever-testing'
import { EngineFleet } from '../../bench/engineFleet.js'
import { LoadKnowledge, type FleetOutcome } from '../../bench/fleetShape.js'
import { isToYield, LAST_PRIORITY, yieldPriority } from '../yieldPriority.js'

/** Tokens a millisecond. */
const SPEED = 50
const ENGINES = 13

/** Requests a second that thirteen such engines read, by the mean prompt of the model of a fleet. */
const CAPACITY = 330

const SEEDS = [1, 2, 3]

function play (load: number, isYielding: boolean, seed: number): FleetOutcome {
  return EngineFleet.simulate({
    instances: 8, engines: ENGINES, rate: CAPACITY * load, linkRate: 5000, knowledge: LoadKnowledge.Queried, isLinkCharged: true, loss: 0.025, tokensPerMs: SPEED, isYielding, seed
  })
}

describe('requests that would be late by the queue', () => {
  for (const seed of SEEDS) {
    it(`leave the engines to those that can be in time under overload, seed ${seed}`, t => {
      for (const load of [1.25, 2, 4]) {
        const [before, after] = [play(load, false, seed), play(load, true, seed)]
        const figures = `at ${load} times the capacity ${before.goodput.toFixed(0)} -> ${after.goodput.toFixed(0)} in time a second`
        t.log(figures)
        t.true(after.goodput > 1.5 * before.goodput, figures)
        t.true(after.goodput > 0.4 * CAPACITY, figures)
      }
    })

    it(`change nothing while there is no pressure, seed ${seed}`, t => {
      const [before, after] = [play(0.5, false, seed), play(0.5, true, seed)]
      t.true(after.goodput >= 0.99 * before.goodput, `${before.goodput} -> ${after.goodput}`)
    })
  }

  // A question of some hundred tokens waits behind large documents. Put behind them all, it is lost; it would have delayed
  // each by some milliseconds.
  it('are not short ones', t => {
    t.false(isToYield({ elapsedMs: 0, waitMs: 900, readMs: 17, objectiveMs: 500 }))
    t.true(isToYield({ elapsedMs: 0, waitMs: 900, readMs: 58, objectiveMs: 800 }))
  })

  it('are those that wait, not those that are late by their size or have all the time', t => {
    const start = { elapsedMs: 0, waitMs: 0, readMs: 100, objectiveMs: 600 }
    t.false(isToYield(start))
    t.false(isToYield({ ...start, waitMs: 300 }))
    t.false(isToYield({ ...start, readMs: 900 }))
    t.true(isToYield({ ...start, waitMs: 450 }))
    t.true(isToYield({ ...start, waitMs: 300, elapsedMs: 400 }))
  })

  // Two kinds of request yield; the more urgent one must not come behind the other for it.
  it('keep their order among themselves as far as engines tell priorities apart', t => {
    t.true(yieldPriority(0) < yieldPriority(1))
    t.is(yieldPriority(7), LAST_PRIORITY)
  })
})
