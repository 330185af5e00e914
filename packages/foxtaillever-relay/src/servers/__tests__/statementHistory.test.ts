import { describe, it } from 'foxtaillever-testing'
import { StatementHistory } from '../__fixtures__/statementHistory.js'

const SEEDS = 60

describe('an instance over drawn histories of servers that speak of themselves', () => {
  // Guards against words that are lost, unsaid by older ones, or kept against a server that started again.
  it('heeds each server, and keeps none from work that is well', async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      t.deepEqual(await StatementHistory.play(seed), [], `seed ${seed}`)
    }
  })
})
