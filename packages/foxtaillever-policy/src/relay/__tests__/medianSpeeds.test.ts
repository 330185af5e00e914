import { describe, it } from 'foxtaillever-testing'
import { medianSpeeds } from '../medianSpeeds.js'
import { ANNOUNCED_SAMPLES, SETTLED_SAMPLES } from '../prefillSpeed.js'

function medianOf (tokensPerMs: readonly number[], samples: number): number | undefined {
  return medianSpeeds(tokensPerMs.map(each => ({ service: 's', tokensPerMs: each, samples }))).get('s')
}

describe('the median speed of a service', () => {
  // Guards against servers of one speed that all seem slow, because the first estimate of one instance is too high.
  it('is unknown while only a few instances have estimates that are not settled', t => {
    t.is(medianOf([148], ANNOUNCED_SAMPLES), undefined)
    t.is(medianOf([148, 101, 99, 100, 102, 98, 103], ANNOUNCED_SAMPLES), undefined)
  })

  it('is known from settled estimates, and from many that are not', t => {
    t.is(medianOf([100], SETTLED_SAMPLES), 100)
    t.is(medianOf([148, 101, 99, 100, 102, 98, 103, 140], ANNOUNCED_SAMPLES), 102)
  })
})
