import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { Rounds } from '../rounds.js'

describe('beats of a large fleet', () => {
  // Some instances went unheard for seconds by chance: they counted as gone, and what they had saved was saved again.
  it('reach everyone again before two rounds are over, also while instances come and go', t => {
    const all = Array.from({ length: 70 }, (_, index) => `a${index}`)
    const rounds = Rounds.create(SeededRandom.create(1))
    const first = Array.from({ length: 5 }, () => rounds.next(all, 16)).flat()
    t.is(new Set(first).size, 70)
    const fewer = all.slice(5)
    const beats = Array.from({ length: 60 }, () => rounds.next(fewer, 16))
    beats.slice(10).forEach((_, beat) => t.is(new Set(beats.slice(beat, beat + 10).flat()).size, fewer.length))
  })
})
