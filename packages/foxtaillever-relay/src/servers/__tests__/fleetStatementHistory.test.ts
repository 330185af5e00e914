import { describe, it } from 'foxtaillever-testing'
import { FleetStatementHistory } from '../__fixtures__/fleetStatementHistory.js'

const SEEDS = 60

describe('instances over random histories of servers that leave', () => {
  // Guards against an entry that its reader does not pass on because it has learned the same from an answer.
  it('all stop sending within the time limit, whichever of answer and entry comes first', async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      t.deepEqual(await FleetStatementHistory.play(seed), [], `seed ${seed}`)
    }
  })
})
