import { describe, it } from 'foxtaillever-testing'
import { readKeyCreation } from '../keyCreation.js'

describe('creation of idempotency keys', () => {
  it('is read from a time-ordered UUID', t => {
    t.is(readKeyCreation('017f22e2-79b0-7cc3-98c4-dc0c0c07398f').extract(), 1_645_557_742_000)
  })

  it('is read from leading milliseconds', t => {
    t.is(readKeyCreation('1764707421000-order-17').extract(), 1_764_707_421_000)
  })

  it('is missing from random keys', t => {
    t.true(readKeyCreation('9b2c6f3e-7f0a-4d2a-8a43-3f1f5a4b7c11').isNothing())
    t.true(readKeyCreation('order-17').isNothing())
  })
})
