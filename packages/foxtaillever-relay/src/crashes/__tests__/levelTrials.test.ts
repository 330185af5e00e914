import { describe, it } from 'foxtaillever-testing'
import { LevelTrials } from '../levelTrials.js'

describe('LevelTrials', () => {
  // Guards against two trials of a level at once after the crash of an earlier one, so that neither tells what crashed its server.
  it('ends a trial only for what happened after it began', t => {
    const trials = LevelTrials.create()
    t.true(trials.begin(['bad'], 6, 1000))
    trials.end(new Map([['bad', 1050]]))
    t.true(trials.begin(['bad'], 6, 1100))
    trials.end(new Map([['bad', 1050]]))
    t.false(trials.begin(['bad'], 6, 1150))
  })
})
