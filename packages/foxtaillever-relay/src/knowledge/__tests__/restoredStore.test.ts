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

/** Versions of the configuration: the last that is lost, and those that follow. */
const NEWEST_LOST = '7'
const NEW = '8'
const NEWER = '9'

interface Restored {
  readonly clock: VirtualClock
  readonly store: FakeStore
  readonly fleet: FakeFleet
}

interface Events {
  /** Carried out on the store in the seconds that are lost. */
  readonly lost?: (store: FakeStore) => void
  /** Carried out on the restored store before any call gets through. */
  readonly beforeCalls?: (store: FakeStore) => void
}

async function restoreStore ({ lost, beforeCalls }: Events = {}): Promise<Restored> {
  const clock = VirtualClock.create()
  const store = new FakeStore(clock)
  store.append('operators', 'config', '1')
  store.append('servers', 's', 'ready')
  store.append('servers', 'other', 'ready')
  const fleet = new FakeFleet(clock, store, NAMES)
  await clock.advanceBy(3000)
  const copy = store.copy()
  lost?.(store)
  for (let count = 0; count < LOST; count += 1) {
    store.append('operators', 'config', String(2 + count))
    store.append('servers', 'other', `ready|${count}`)
    await clock.advanceBy(500)
  }
  store.isAway = true
  await clock.advanceBy(AWAY_MS)
  store.restore(copy)
  beforeCalls?.(store)
  store.isAway = false
  return { clock, store, fleet }
}

describe('Knowledge of a store that was restored from an older copy', () => {
  // Guards against records that are passed over because their offsets were given out before.
  it('has what is written afterwards within the bound, at lower offsets too', async t => {
    const { clock, store, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    store.append('operators', 'config', NEW)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('config') !== NEW), [])
  })

  // Guards against a reader that goes on at its former offset where the topic has grown past it meanwhile.
  it('misses nothing below its former position, though the store has that offset again', async t => {
    const { clock, fleet } = await restoreStore({
      beforeCalls: store => {
        store.append('servers', 's', undefined)
        Array.from({ length: 2 * LOST }, (_, count) => store.append('servers', 'other', `ready|${count}`))
      }
    })
    await clock.advanceBy(BOUND_MS + RETURN_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('s') !== ''), [])
  })

  // Guards against requests to a server that has left and is listed again by the copy alone.
  it('takes a server that has left for alive again by its next heartbeat only', async t => {
    const { clock, store, fleet } = await restoreStore({ lost: store => store.append('servers', 's', undefined) })
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('s') !== ''), [])
    store.append('servers', 's', 'ready|1')
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('s') !== 'ready'), [])
  })

  // Guards against an instance that is told to lack nothing by others who never knew that the server had left.
  it('hears of a server that is back though others do not tell of it', async t => {
    const { clock, store, fleet } = await restoreStore({ lost: store => store.append('servers', 's', undefined) })
    await clock.advanceBy(BOUND_MS)
    // So many that the one whose turn to read comes first is among them.
    const started = Array.from({ length: 30 }, (_, index) => `started-${index}`)
    started.forEach(name => {
      fleet.cut.add(name)
      fleet.add(name)
    })
    await clock.advanceBy(BOUND_MS)
    for (let beat = 0; beat < 8; beat += 1) {
      store.append('servers', 's', `ready|${beat}`)
      await clock.advanceBy(400)
    }
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('s') !== 'ready'), [])
  })

  // Guards against dropping servers that came in the lost seconds before they can write their entries again.
  it('lets servers that the copy does not list return', async t => {
    const { clock, fleet } = await restoreStore({ lost: store => store.append('servers', 'new', 'ready') })
    const returnedAt = clock.now()
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).knowledge.settledAt < returnedAt + BOUND_MS), [])
  })

  // Guards against an instance that hears of the return from another only, or while the store holds its call.
  it('is read anew also where the store turns the instance away', async t => {
    const { clock, store, fleet } = await restoreStore()
    store.dark.add('a')
    await clock.advanceBy(BOUND_MS)
    store.append('operators', 'config', NEW)
    await clock.advanceBy(BOUND_MS)
    t.is(fleet.get('a').beliefs.get('config'), NEW)
    store.dark.clear()
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.is(fleet.get('a').beliefs.get('config'), NEWER)
  })

  // Guards against a configuration that was in force and is taken back while the store shows an older one.
  it('keeps what was in force until something newer is written', async t => {
    const { clock, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('config') !== NEWEST_LOST), [])
  })

  // Guards against an instance that takes the copy's configuration for the newest because it has just started.
  for (const [how, isCut] of [['', false], [', though its first calls to others fail', true]] as const) {
    it(`brings an instance that starts meanwhile to what is in force${how}`, async t => {
      const { clock, fleet } = await restoreStore()
      await clock.advanceBy(BOUND_MS / 2)
      if (isCut) {
        fleet.cut.add('late')
      }
      const started = fleet.add('late')
      await clock.advanceBy(BOUND_MS / 2)
      fleet.cut.clear()
      await clock.advanceBy(BOUND_MS / 2)
      t.is(started.beliefs.get('config'), NEWEST_LOST)
    })
  }

  // Guards against waiting for an answer that was held across the return and never comes.
  it('is read anew within the bound where held calls stay silent', async t => {
    const { clock, store, fleet } = await restoreStore()
    await clock.advanceBy(BOUND_MS)
    const copy = store.copy()
    store.append('operators', 'config', NEW)
    await clock.advanceBy(1000)
    store.silence()
    store.restore(copy)
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('config') !== NEWER), [])
  })

  // Guards against two restorations in a row, the second before everybody has noticed the first.
  it('follows a store that is restored twice in a row', async t => {
    const { clock, store, fleet } = await restoreStore()
    const copy = store.copy()
    store.append('operators', 'config', NEW)
    await clock.advanceBy(50)
    store.restore(copy)
    store.append('operators', 'config', NEWER)
    await clock.advanceBy(BOUND_MS)
    t.deepEqual(NAMES.filter(name => fleet.get(name).beliefs.get('config') !== NEWER), [])
  })
})
