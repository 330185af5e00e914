import { describe, it } from 'foxtaillever-testing'
import { StartCheck } from '../startCheck.js'

const NOW = 1_000_000
const own = { now: NOW, revision: 5, era: 1 }

describe('StartCheck', () => {
  it('passes at once if the store was never restored', t => {
    t.true(StartCheck.create().isPassed({ ...own, era: 0, peerRevisions: () => [] }))
  })

  // Guards against answers by the configuration of a backup while others have the newest.
  it('waits for others, and while one of them has a newer configuration', t => {
    const check = StartCheck.create()
    t.false(check.isPassed({ ...own, peerRevisions: () => [] }))
    t.false(check.isPassed({ ...own, peerRevisions: () => [-1] }))
    t.false(check.isPassed({ ...own, peerRevisions: () => [5, 6] }))
    t.true(check.isPassed({ ...own, revision: 6, peerRevisions: () => [5, 6] }))
    t.true(check.isPassed({ ...own, peerRevisions: () => [7] }))
  })

  // Guards against an instance that never serves because there is no other.
  it('passes after a while without heartbeats of others', t => {
    const check = StartCheck.create()
    t.false(check.isPassed({ ...own, peerRevisions: () => [] }))
    t.true(check.isPassed({ ...own, now: NOW + 1500, peerRevisions: () => [] }))
  })
})
