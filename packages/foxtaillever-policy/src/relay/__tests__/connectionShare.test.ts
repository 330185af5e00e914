import { describe, it } from 'foxtaillever-testing'
import { connectionShare } from '../connectionShare.js'

const FLEETS = [1, 6, 70, 195, 380, 1000]
const LIMITS = [1, 96, 600, 1300]

describe('connectionShare', () => {
  // Idle connections of all instances together could use up the connections that a server accepts.
  it('keeps no more idle connections over all instances than a server accepts', t => {
    for (const most of LIMITS) {
      FLEETS.forEach(instances => t.true(instances * connectionShare(most, instances).idle <= most, `${instances} instances, ${most} connections`))
    }
  })

  it('lets each instance send a second request at once', t => {
    t.true(FLEETS.every(instances => connectionShare(96, instances).total >= 2))
    t.deepEqual(connectionShare(550, 70), { total: 7, idle: 7 })
  })
})
