import { describe, it } from 'foxtaillever-testing'
import { Disturbance, drawnFleets, RetryHistory, type RetryReport } from '../__fixtures__/retryHistory.js'

/** Histories of each fleet, fewer of those of many instances. */
const SEEDS = 10
const LARGE_SEEDS = 1
const LARGE = 20

/** Share of the budget that must be available to a fleet without disturbances. */
const MIN_USED = 0.6

function playAll (disturbances: readonly Disturbance[]): RetryReport[] {
  return drawnFleets.flatMap(fleet => Array.from({ length: fleet.instances > LARGE ? LARGE_SEEDS : SEEDS }, (_, seed) => RetryHistory.play({ ...fleet, seed: seed + 1, disturbances })))
}

describe('retry budget of a fleet', () => {
  // Guards against processes that spend again what their former ones, or the instances that they replace, have spent within the window.
  Object.values(Disturbance).forEach(kind => it(`is kept in any window with ${kind}`, t => {
    t.deepEqual(playAll([kind]).filter(({ worst }) => worst > 1), [])
  }))

  it('is kept in any window with all disturbances at once', t => {
    t.deepEqual(playAll(Object.values(Disturbance)).filter(({ worst }) => worst > 1), [])
  })

  it('is used where nothing is killed', t => {
    const reports = playAll([])
    t.deepEqual(reports.filter(({ worst }) => worst > 1), [])
    t.deepEqual(reports.filter(({ used }) => used < MIN_USED), [])
  })
})
