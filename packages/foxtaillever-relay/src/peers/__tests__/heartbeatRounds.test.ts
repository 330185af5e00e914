import { SeededRandom } from 'foxtaillever-core'
import { describe, it } from 'foxtaillever-testing'
import { HeartbeatRounds } from '../heartbeatRounds.js'

describe('heartbeats of a large fleet', () => {
  // With random receivers, some instances were silent to others for seconds: they counted as gone, and what they had saved was saved again.
  it('reach every instance again within two rounds, also while instances join and leave', t => {
    const all = Array.from({ length: 70 }, (_, index) => `a${index}`)
    const rounds = HeartbeatRounds.create(SeededRandom.create(1))
    const first = Array.from({ length: 5 }, () => rounds.next(all, 16)).flat()
    t.is(new Set(first).size, 70)
    const fewer = all.slice(5)
    const heartbeats = Array.from({ length: 60 }, () => rounds.next(fewer, 16))
    heartbeats.slice(10).forEach((_, index) => t.is(new Set(heartbeats.slice(index, index + 10).flat()).size, fewer.length))
  })
})
