/**
 * Two in three engines read at 0.7 of the mean speed and one at 1.7. With one speed for all, slow engines are the
 * homes of as many levels as fast ones, and their queues look short: prompts wait there while fast engines are idle.
 */
import { describe, it } from 'foxtaillever-testing'
import { EngineFleet } from '../../bench/engineFleet.js'
import { LoadKnowledge, type FleetOutcome } from '../../bench/fleetShape.js'

/** Mean speed of the deployment with uneven engines, tokens a millisecond. */
const SPEED = 32
const ENGINES = 42
const INSTANCES = 62
const FACTORS = [0.7, 0.7, 1.7]

/** Each instance needs some twenty prompts to learn the speed of the service, which takes it four seconds. */
const WARM_UP_MS = 8000

/** Tokens that an engine reads of a prompt at its home, in the mean of the model's prompts. */
const MEAN_TOKENS = 1970
const CAPACITY = 1000 * ENGINES * SPEED * (0.7 + 0.7 + 1.7) / 3 / MEAN_TOKENS

function simulate (speedFactors: readonly number[], isSpeedKnown: boolean, seed: number): FleetOutcome {
  return EngineFleet.simulate({
    instances: INSTANCES, engines: ENGINES, rate: 0.7 * CAPACITY, linkRate: 5000, knowledge: LoadKnowledge.Queried, isLinkCharged: true, loss: 0.025, tokensPerMs: SPEED, speedFactors, isSpeedKnown, warmUpMs: WARM_UP_MS, isYielding: true, seed
  })
}

const SEEDS = [1, 2, 3]
const simulated = new Map<string, FleetOutcome>()

/** Each fleet is simulated once for all tests. */
function outcomeOf (speedFactors: readonly number[], isSpeedKnown: boolean, seed: number): FleetOutcome {
  const key = `${speedFactors.join()}/${isSpeedKnown}/${seed}`
  const outcome = simulated.get(key) ?? simulate(speedFactors, isSpeedKnown, seed)
  simulated.set(key, outcome)
  return outcome
}

function compare (speedFactors: readonly number[], seed: number): { readonly before: FleetOutcome, readonly after: FleetOutcome, readonly figures: string } {
  const [before, after] = [outcomeOf(speedFactors, false, seed), outcomeOf(speedFactors, true, seed)]
  const describeOutcome = ({ p95, slowestP95, goodput, lateShare }: FleetOutcome): string => `95 in 100 wait at most ${p95} ms, at the slowest third ${slowestP95} ms; ${goodput.toFixed(0)} on time a second, ${(100 * lateShare).toFixed(1)} in 100 late`
  return { before, after, figures: `seed ${seed}: ${describeOutcome(before)} -> ${describeOutcome(after)}` }
}

describe('a fleet of uneven engines at 0.7 of its capacity', () => {
  it('lets callers of slow engines wait about as long as others, and all callers less', t => {
    for (const seed of SEEDS) {
      const { before, after, figures } = compare(FACTORS, seed)
      t.log(figures)
      t.true(after.slowestP95 <= 1.3 * after.p95, figures)
      t.true(after.p95 < before.p95, figures)
    }
  })

  it('answers 1.15 times as many requests on time as with one speed for all', t => {
    for (const seed of SEEDS) {
      const { before, after, figures } = compare(FACTORS, seed)
      t.true(after.goodput >= 1.15 * before.goodput, figures)
    }
  })

  // Guards against noise of the estimates that moves requests and homes in a fleet where one speed fits all.
  it('decides as with one speed for all if engines are equal', t => {
    for (const seed of SEEDS) {
      const { before, after, figures } = compare([1], seed)
      t.true(Math.abs(after.goodput / before.goodput - 1) <= 0.01, figures)
      t.true(Math.abs(after.p95 / before.p95 - 1) <= 0.01, figures)
    }
  })
})
