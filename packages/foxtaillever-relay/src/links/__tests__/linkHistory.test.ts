import { describe, it } from 'foxtaillever-testing'
import { LinkHistory } from '../__fixtures__/linkHistory.js'

const SEEDS = 12

describe('drawn histories of links that break and servers that fail', () => {
  // Guards against instances that blame servers for their own links, whatever is cut together, and against cuts noticed too late.
  it('show no instance that concludes what is not so', async t => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      t.deepEqual(await LinkHistory.play(seed), [], `seed ${seed}`)
    }
  })
})
