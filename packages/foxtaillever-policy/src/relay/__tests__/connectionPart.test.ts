import { describe, it } from 'foxtaillever-testing'
import { connectionPart } from '../connectionPart.js'

const FLEETS = [1, 6, 70, 195, 380, 1000]
const LIMITS = [1, 96, 600, 1300]

describe('connectionPart', () => {
  // Guards against idle connections of all instances that leave a server no room for requests.
  it('keeps no more idle connections over all instances than a server accepts', t => {
    for (const most of LIMITS) {
      FLEETS.forEach(instances => t.true(instances * connectionPart(most, instances).idle <= most, `${instances} instances, ${most} connections`))
    }
  })

  it('lets each instance send a second request at once', t => {
    t.true(FLEETS.every(instances => connectionPart(96, instances).total >= 2))
    t.deepEqual(connectionPart(550, 70), { total: 7, idle: 7 })
  })
})
