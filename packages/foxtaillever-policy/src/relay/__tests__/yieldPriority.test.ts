/**
 * For some seconds more prompts arrive than the engines can read. Each waits behind
 * all before it, the queue becomes longer than the objective, and from then on nearly
 * every caller waits too long, although half of them could be served in time.
 */
import { describe, it } from 'foxtaillever-testing'
import { EngineFleet } from '../../bench/engineFleet.js'
import { LoadKnowledge, type FleetOutcome } from '../../bench/fleetShape.js'
import { shouldYield, LEAST_URGENT_PRIORITY, yieldPriority } from '../yieldPriority.js'

/** Tokens a millisecond. */
const SPEED = 50
const ENGINES = 13

/** Requests a second that thirteen such engines can read, with the mean prompt of the fleet model. */
const CAPACITY = 330

const SEEDS = [1, 2, 3]

function simulate (load: number, isYielding: boolean, seed: number): FleetOutcome {
  return EngineFleet.simulate({
    instances: 8, engines: ENGINES, rate: CAPACITY * load, linkRate: 5000, knowledge: LoadKnowledge.Queried, isLinkCharged: true, loss: 0.025, tokensPerMs: SPEED, isYielding, seed
  })
}

describe('requests that the queue makes late', () => {
  for (const seed of SEEDS) {
    it(`yield to requests that can be in time under overload, seed ${seed}`, t => {
      for (const load of [1.25, 2, 4]) {
        const [before, after] = [simulate(load, false, seed), simulate(load, true, seed)]
        const figures = `at ${load} times the capacity ${before.goodput.toFixed(0)} -> ${after.goodput.toFixed(0)} in time a second`
        t.log(figures)
        t.true(after.goodput > 1.5 * before.goodput, figures)
        t.true(after.goodput > 0.4 * CAPACITY, figures)
      }
    })

    it(`change nothing without overload, seed ${seed}`, t => {
      const [before, after] = [simulate(0.5, false, seed), simulate(0.5, true, seed)]
      t.true(after.goodput >= 0.99 * before.goodput, `${before.goodput} -> ${after.goodput}`)
    })
  }

  // A prompt of some hundred tokens waits behind large documents. Behind all of them it is late; before them it delays each
  // by only some milliseconds.
  it('do not yield when they are short', t => {
    t.false(shouldYield({ elapsedMs: 0, waitMs: 900, readMs: 17, objectiveMs: 500 }))
    t.true(shouldYield({ elapsedMs: 0, waitMs: 900, readMs: 58, objectiveMs: 800 }))
  })

  it('yield when they have to wait, not when they are late by their size or have enough time', t => {
    const start = { elapsedMs: 0, waitMs: 0, readMs: 100, objectiveMs: 600 }
    t.false(shouldYield(start))
    t.false(shouldYield({ ...start, waitMs: 300 }))
    t.false(shouldYield({ ...start, readMs: 900 }))
    t.true(shouldYield({ ...start, waitMs: 450 }))
    t.true(shouldYield({ ...start, waitMs: 300, elapsedMs: 400 }))
  })

  // When requests of two priorities yield, the more urgent one must not fall behind the other.
  it('keep their order among themselves as far as engines distinguish priorities', t => {
    t.true(yieldPriority(0) < yieldPriority(1))
    t.is(yieldPriority(7), LEAST_URGENT_PRIORITY)
  })
})
