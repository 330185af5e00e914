import { describe, it } from 'foxtaillever-testing'
import { StartCheck } from '../startCheck.js'

const NOW = 1_000_000
const own = { now: NOW, revision: 5, era: 1 }

describe('StartCheck', () => {
  it('passes at once where the store was never restored', t => {
    t.true(StartCheck.create().isPassed({ ...own, era: 0, told: () => [] }))
  })

  // Guards against answers by the configuration of an older copy while others know the newest.
  it('waits for others, and while one of them has a newer configuration', t => {
    const check = StartCheck.create()
    t.false(check.isPassed({ ...own, told: () => [] }))
    t.false(check.isPassed({ ...own, told: () => [-1] }))
    t.false(check.isPassed({ ...own, told: () => [5, 6] }))
    t.true(check.isPassed({ ...own, revision: 6, told: () => [5, 6] }))
    t.true(check.isPassed({ ...own, told: () => [7] }))
  })

  // Guards against an instance that never serves since no other is left.
  it('passes after a while where nobody is heard', t => {
    const check = StartCheck.create()
    t.false(check.isPassed({ ...own, told: () => [] }))
    t.true(check.isPassed({ ...own, now: NOW + 1500, told: () => [] }))
  })
})
