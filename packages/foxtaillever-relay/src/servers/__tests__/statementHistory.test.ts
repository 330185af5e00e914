import { describe, it } from 'foxtaillever-testing'
import { StatementHistory } from '../__fixtures__/statementHistory.js'

const SEEDS = 60

describe('an instance over random histories of servers that state things about themselves', () => {
  // Guards against statements that are lost, overridden by older ones, or still applied to a server that started again.
  it('obeys each server\'s statements and leaves no available server without work', async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      t.deepEqual(await StatementHistory.play(seed), [], `seed ${seed}`)
    }
  })
})
