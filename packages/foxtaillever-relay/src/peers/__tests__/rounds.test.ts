import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { Rounds } from '../rounds.js'

describe('beats of a large fleet', () => {
  // Some instances went unheard for seconds by chance: they counted as gone, and what they had saved was saved again.
  it('reach everyone once in a round, also while instances come and go', t => {
    const all = Array.from({ length: 70 }, (_, index) => `a${index}`)
    const rounds = Rounds.create(SeededRandom.create(1))
    const heard = Array.from({ length: 5 }, () => rounds.next(all, 16)).flat()
    t.is(new Set(heard).size, 70)
    const fewer = all.slice(5)
    const later = Array.from({ length: 9 }, () => rounds.next(fewer, 16)).flat()
    t.true(fewer.every(address => [...heard, ...later].filter(other => other === address).length >= 3))
    t.false(later.includes('a0'))
  })
})
