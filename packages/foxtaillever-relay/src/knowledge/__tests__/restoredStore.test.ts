/** The store comes back from an older copy and gives offsets out again. */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f']

/** The bound on configurations, and on work for a server that has left, milliseconds. */
const BOUND_MS = 2000

/** Entries that are missing after a return may be written again for so long, milliseconds. */
const RETURN_MS = 2200

const AWAY_MS = 500
const LOST = 6

interface Restored {
  readonly clock: VirtualClock
  readonly store: FakeStore
  readonly fleet: FakeFleet
}

/** @param beforeCalls carried out on the restored store before any call gets through. */
async function restoreStore (beforeCalls: (store: FakeStore) => void = () => {}): Promise<Restored> {
  const clock = VirtualClock.create()
  const store = new FakeStore(clock)
  store.append('operators', 'config', 'one')
  store.append('servers', 's', 'ready')
  store.append('servers', 'other', 'ready')
  const fleet = new FakeFleet(clock, store, NAMES)
  await clock.advanceBy(3000)
  const copy = store.copy()
  for (let count = 0; count < LOST; count += 1) {
    store.append('operators', 'config', `lost ${count}`)
    store.append('servers', 'other', `ready|${count}`)
    await clock.advanceBy(500)
  }
  store.isAway = true
  await clock.advanceBy(AWAY_MS)
  store.restore(copy)
  beforeCalls(store)
  store.isAway = false
  return { clock, store, fleet }
}

describe('Knowledge of a store that was restored from an older copy', () => {
  // Guards against records that are passed over because their offsets were given out before.
  it('has what is written afterwards within the bound, at lower offsets too', async t => {
    const { clock, store, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    store.append('operators', 'config', 'new')
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('config') !== 'new'), [])
  })

  // Guards against a reader that goes on at its former offset where the topic has grown past it meanwhile.
  it('misses nothing below its former position, though the store has that offset again', async t => {
    const { clock, fleet } = await restoreStore(store => {
      store.append('servers', 's', undefined)
      Array.from({ length: 2 * LOST }, (_, count) => store.append('servers', 'other', `ready|${count}`))
    })
    await clock.advanceBy(BOUND_MS + RETURN_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('s') !== ''), [])
  })
})
