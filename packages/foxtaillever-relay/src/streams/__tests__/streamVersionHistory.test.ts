import { describe, it } from 'foxtaillever-testing'
import { StreamVersionHistory } from '../__fixtures__/streamVersionHistory.js'

const SEEDS = 24

/** Streams that are taken up go on at least as often, as a share of how often new ones begin. */
const MIN_RELATIVE_SHARE = 0.9

describe('drawn histories of streams that are taken up while several software versions serve', () => {
  // Guards against streams that go on at another version because an instance took what it did not know for one version.
  it('show no stream that goes on at another version, and few that are refused', async t => {
    let [takenUp, wentOn] = [0, 0]
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const report = await StreamVersionHistory.play(seed)
      t.deepEqual(report.violations, [], `seed ${seed}`)
      takenUp += report.takenUp
      wentOn += report.wentOn
    }
    t.true(wentOn >= MIN_RELATIVE_SHARE * takenUp, `${wentOn} of ${takenUp} went on`)
  })
})
