import { describe, it } from 'foxtaillever-testing'
import { findCaughtPromise, mutants, runMutant } from '../fuzz/mutants.js'
import { runFuzz } from '../fuzz/runFuzz.js'

const RUNS = 40

describe('fuzzing', () => {
  describe('finds nothing', () => {
    // Detects a change that breaks a promise before it is merged; longer
    // campaigns are run by hand with `npm run fuzz`.
    for (const seed of [1, 2, 3]) {
      it(`with seed ${seed}`, async t => {
        const { failure, wholeAnswers } = await runFuzz({ seed, runs: RUNS })
        t.is(failure, '')
        t.true(wholeAnswers > RUNS)
      })
    }
  })

  describe('detects the removal of', () => {
    // Guards against a fuzzer that finds no violation at all.
    for (const mutant of mutants) {
      it(mutant.safeguard, async t => {
        const report = await runMutant(mutant, true)
        t.truthy(findCaughtPromise(mutant, report), report.failure)
      })
    }
  })

  it('replays a failure from its seed and path', async t => {
    const [mutant] = mutants
    if (!mutant) {
      return t.fail('There are no mutants.')
    }
    const [first, second] = [await runMutant(mutant, true), await runMutant(mutant, true)]
    t.not(first.failure, '')
    t.is(first.failure, second.failure)
  })
})
