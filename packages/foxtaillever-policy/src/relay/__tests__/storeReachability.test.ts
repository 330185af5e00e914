import { describe, it } from 'foxtaillever-testing'
import { StoreReachability, type StoreReport } from '../storeReachability.js'

function report (isSilent: boolean, incarnation = 1): StoreReport[] {
  return [{ store: 's', isSilent, incarnation }]
}

describe('StoreReachability', () => {
  // The store of cached levels crashes. For as long as it is down, every request with a large prompt waits some hundred
  // milliseconds for it before its server starts to read.
  it('skips a store once all instances that checked it found it silent', t => {
    const reach = StoreReachability.create()
    t.true(reach.isReachable('s', 0), 'no instance has checked yet')
    reach.recordReports('one', report(false), 0)
    reach.recordReports('other', report(false), 0)
    reach.recordReports('one', report(true), 1000)
    t.true(reach.isReachable('s', 1000))
    reach.recordReports('other', report(true), 1100)
    t.false(reach.isReachable('s', 1100))
    reach.recordReports('one', report(false), 3000)
    t.true(reach.isReachable('s', 3000))
  })

  // One of the checking instances is cut off from all stores. If its report were enough, the whole fleet would read levels
  // again that the stores have.
  it('ignores the report of an instance that is cut off when another reaches the store', t => {
    const reach = StoreReachability.create()
    for (let now = 0; now < 10_000; now += 1000) {
      reach.recordReports('one', report(true, 0), now)
      reach.recordReports('other', report(false), now + 500)
      t.true(reach.isReachable('s', now + 600))
    }
  })

  // All checking instances are gone. A store must not be skipped for ever because of their last reports.
  it('forgets old reports', t => {
    const reach = StoreReachability.create()
    reach.recordReports('one', report(true), 0)
    t.false(reach.isReachable('s', 3999))
    t.true(reach.isReachable('s', 4000))
  })

  // A store restarts empty before any check finds it down. Its levels would count as saved for ten seconds, and all that
  // time callers would wait for prompts to be read again.
  it('reports a restart once, also when reports of two instances arrive out of order', t => {
    const reach = StoreReachability.create()
    const reported = [['one', 1], ['other', 0], ['other', 1], ['one', 2], ['other', 1], ['other', 2], ['one', 2]] as const
    t.deepEqual(reported.map(([instance, incarnation], now) => reach.recordReports(instance, report(false, incarnation), now)), [false, false, false, true, false, false, false])
  })
})
