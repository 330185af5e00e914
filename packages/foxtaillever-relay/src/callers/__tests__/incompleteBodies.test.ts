import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { IncompleteBodies, type IncompleteBody } from '../incompleteBodies.js'

function createBody (receivedBytes: number, abandoned: string[], name: string): IncompleteBody {
  return { receivedBytes: () => receivedBytes, reservedBytes: () => 1000, abandon: () => abandoned.push(name) }
}

describe('bodies that are being read', () => {
  // Guards against clients that announce large bodies, send little, and keep others out.
  it('make room by the one that received the least for its age, and not while all are new', async t => {
    const clock = VirtualClock.create()
    const bodies = IncompleteBodies.create(clock)
    const abandoned: string[] = []
    bodies.add(createBody(900, abandoned, 'fast'))
    bodies.add(createBody(10, abandoned, 'slow'))
    t.false(bodies.abandonSlowest())
    await clock.advanceBy(1000)
    bodies.add(createBody(0, abandoned, 'new'))
    t.true(bodies.abandonSlowest())
    t.deepEqual(abandoned, ['slow'])
  })
})
