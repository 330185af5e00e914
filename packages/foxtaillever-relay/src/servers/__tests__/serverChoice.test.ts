import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { exchangeAt } from '../../__fixtures__/exchanges.js'
import { ServerState } from '../../model/listedServer.js'
import { FleetUse } from '../../peers/fleetUse.js'
import { ServerChoice } from '../serverChoice.js'
import { ServerDirectory } from '../serverDirectory.js'

const BOUND_MS = 8000
const SLOTS = 48

/** Whether the only engine is chosen, so much running there and so long after newer weights were named. */
function isChosen (outstanding: number, outdatedMs: number): boolean {
  const clock = VirtualClock.create()
  const directory = ServerDirectory.create({ onChanged: () => {} })
  directory.observe({ id: 'e', startedAt: 0, service: 'engines', address: '127.0.0.1:1', failureDomain: 'a', slots: SLOTS, state: ServerState.Ready, coldLeftMs: 0, weights: new Map([['model', 1]]) }, 0)
  const engine = directory.get('e')
  if (engine) {
    engine.outstanding = outstanding
  }
  const weights = { outdatedSince: () => clock.now() - outdatedMs }
  const choice = ServerChoice.create({ clock, random: SeededRandom.create(1), failureDomain: 'a', directory, use: FleetUse.create(clock), levelSupply: () => ({ fetchMs: 0, waitMs: 0, missingTokens: () => 0 }), stores: () => [], weights, weightsBoundMs: BOUND_MS })
  return choice.place(exchangeAt(clock.now()), { failed: new Set(), wasMisdirected: false }) !== undefined
}

describe('the choice of a server with replaced weights', () => {
  // A request waited two seconds in the queue of a full engine and began after the bound, on weights it must not have.
  it('reckons with the wait in the queue of a full engine', t => {
    t.true(isChosen(10, 6000))
    t.false(isChosen(10, 7000))
    t.true(isChosen(SLOTS, 4500))
    t.false(isChosen(SLOTS, 6000))
  })
})
