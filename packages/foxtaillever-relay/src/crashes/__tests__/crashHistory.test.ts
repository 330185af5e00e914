import { describe, it } from 'foxtaillever-testing'
import { CrashHistory, OtherTrouble, smallFleet } from '../__fixtures__/crashHistory.js'

const SEEDS = [1, 2, 3, 4]

/** Requests with a level that may reach servers later than users allow. */
const MAX_SENT_LATE = 3

/** How often sound requests begin at the first attempt, as a share of all. */
const MIN_BEGUN = 0.9

/** Requests a second with a level that crashes servers. */
const RATES = [0.2, 1, 4]

describe('drawn histories of levels that crash servers', () => {
  for (const crashingPerS of RATES) {
    // Guards against servers that crash one after another while requests of many instances share a level.
    it(`refuse the level, and no other, at ${crashingPerS} requests a second`, async t => {
      for (const seed of SEEDS) {
        const { violations, sentLate, counts: { begunLate, askedLate, quarantinedRequests } } = await CrashHistory.play({ ...smallFleet, seed, crashingPerS, crashingLevels: 1, troubles: [] })
        t.deepEqual(violations, [], `seed ${seed}`)
        t.true(sentLate <= MAX_SENT_LATE, `seed ${seed}: ${sentLate} sent late`)
        t.true(begunLate >= MIN_BEGUN * askedLate, `seed ${seed}: ${begunLate} of ${askedLate} began`)
        t.is(quarantinedRequests, 0, `seed ${seed}`)
      }
    })
  }

  // Guards against one level that hides behind the crashes of another.
  it('refuse each of two levels', async t => {
    for (const seed of SEEDS) {
      const { violations, sentLate } = await CrashHistory.play({ ...smallFleet, seed, crashingPerS: 4, crashingLevels: 2, troubles: [] })
      t.deepEqual(violations, [], `seed ${seed}`)
      t.true(sentLate <= MAX_SENT_LATE, `seed ${seed}: ${sentLate} sent late`)
    }
  })

  // Guards against requests with two levels that reach servers late, because a second trial of a level begins beside the first.
  it('refuse each of two levels of which many requests come', async t => {
    for (const seed of [351, 383]) {
      const { violations, sentLate } = await CrashHistory.play({ ...smallFleet, seed, crashingPerS: 15, crashingLevels: 2, troubles: [] })
      t.deepEqual(violations, [], `seed ${seed}`)
      t.true(sentLate <= MAX_SENT_LATE, `seed ${seed}: ${sentLate} sent late`)
    }
  })
})

describe('drawn histories of servers that crash for other reasons', () => {
  // Guards against sound levels that are refused because they were in flight when servers crashed or links were cut.
  it('quarantine no level', async t => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const { violations } = await CrashHistory.play({ ...smallFleet, seed, crashingPerS: 0, crashingLevels: 0, troubles: Object.values(OtherTrouble) })
      t.deepEqual(violations, [], `seed ${seed}`)
    }
  })
})
