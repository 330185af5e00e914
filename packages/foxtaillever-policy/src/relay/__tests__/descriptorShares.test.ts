import { describe, it } from 'foxtaillever-testing'
import { shareDescriptors } from '../descriptorShares.js'

describe('the shares of descriptors', () => {
  // Guards against doors that together take more than there is.
  it('leave those of files free', t => {
    for (const descriptors of [300, 600, 4100]) {
      const { callers, peers, readiness, metrics, requests } = shareDescriptors(descriptors)
      t.true(callers + peers + readiness + metrics + requests <= descriptors - 200)
      t.true(Math.min(callers, peers, readiness, metrics, requests) > 0)
    }
  })

  it('are without bound where no limit is known', t => {
    t.is(shareDescriptors().callers, Infinity)
    t.is(shareDescriptors().requests, Infinity)
  })
})
