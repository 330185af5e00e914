/**
 * Every call to the platform's store is paid for, so few instances read it and
 * tell the others. If the one that reads dies, is cut off from the store or its
 * word is lost, the others would go on sending requests to servers that have
 * left, and follow a configuration that is no longer in force.
 */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']

/** The bound on work for a server that leaves, and on configurations, milliseconds. */
const BOUND_MS = 2000

/** A server writes its entry this often, milliseconds. */
const HEARTBEAT_MS = 300

async function createFleet (): Promise<{ clock: VirtualClock, store: FakeStore, fleet: FakeFleet }> {
  const clock = VirtualClock.create()
  const store = new FakeStore(clock)
  store.append('operators', 'config', 'one')
  store.append('servers', 's', 'ready')
  const fleet = new FakeFleet(clock, store, NAMES)
  let count = 0
  const beat = (): void => {
    const last = store.topics.get('servers')?.filter(({ key }) => key === 'beating').at(-1)
    if (last?.value !== undefined || last === undefined) {
      store.append('servers', 'beating', `ready|${count++}`)
    }
    clock.at(clock.now() + HEARTBEAT_MS, beat)
  }
  beat()
  await clock.advanceBy(5000)
  return { clock, store, fleet }
}

function latest (fleet: FakeFleet, key: string, names: readonly string[]): number {
  return Math.max(...names.map(name => fleet.get(name).learnedAt.get(key) ?? Infinity))
}

describe('Knowledge', () => {
  it('is read by few and known by all', async t => {
    const { clock, store, fleet } = await createFleet()
    store.calls = 0
    await clock.advanceBy(7000)
    t.true(store.calls <= 24, `${store.calls} calls in 7 s by 9 instances`)
    store.append('servers', 's', 'draining')
    const at = clock.now()
    await clock.advanceBy(BOUND_MS)
    t.true(NAMES.every(name => fleet.get(name).beliefs.get('s') === 'draining'))
    t.true(latest(fleet, 's', NAMES) <= at + 800)
  })

  for (const count of [1, 3, 8]) {
    it(`is kept within the bound when ${count} instances die, whichever they are`, async t => {
      for (let first = 0; first < NAMES.length; first += 1) {
        const { clock, store, fleet } = await createFleet()
        const dead = Array.from({ length: count }, (_, index) => NAMES[(first + index) % NAMES.length] as string)
        dead.forEach(name => fleet.kill(name))
        const alive = NAMES.filter(name => !dead.includes(name))
        store.append('servers', 's', 'draining')
        store.append('operators', 'config', 'two')
        const at = clock.now()
        await clock.advanceBy(4000)
        t.true(latest(fleet, 's', alive) < at + BOUND_MS, `entry, ${dead.join()} dead`)
        t.true(latest(fleet, 'config', alive) < at + BOUND_MS, `configuration, ${dead.join()} dead`)
      }
    })
  }

  it('reaches instances that the store turns away, at once', async t => {
    const { clock, store, fleet } = await createFleet()
    const dark = NAMES.slice(0, 4)
    dark.forEach(name => store.dark.add(name))
    await clock.advanceBy(3000)
    store.append('servers', 's', 'draining')
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + 100)
    t.true(latest(fleet, 's', NAMES) < at + 1000)
  })

  it('does not depend on the readers\' datagrams', async t => {
    const { clock, store, fleet } = await createFleet()
    NAMES.forEach(name => fleet.mute.add(name))
    await clock.advanceBy(3000)
    store.append('servers', 's', 'draining')
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 's', NAMES) < at + BOUND_MS)
    t.true(latest(fleet, 'config', NAMES) < at + BOUND_MS)
  })

  it('is read again soon after the store was down for all', async t => {
    const { clock, store, fleet } = await createFleet()
    NAMES.forEach(name => store.dark.add(name))
    await clock.advanceBy(8000)
    store.append('servers', 's', undefined)
    store.append('operators', 'config', 'two')
    store.dark.clear()
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + BOUND_MS)
    // Entries that are missing then may be written again for two seconds.
    t.true(NAMES.every(name => fleet.get(name).knowledge.settledAt >= at + BOUND_MS))
  })

  it('passes on that a removal was undone, though the entry says what it said before', async t => {
    const { clock, store, fleet } = await createFleet()
    store.append('servers', 's', undefined)
    await clock.advanceBy(1500)
    t.true(NAMES.every(name => fleet.get(name).beliefs.get('s') === ''))
    store.append('servers', 's', 'ready')
    await clock.advanceBy(1500)
    t.true(NAMES.every(name => fleet.get(name).beliefs.get('s') === 'ready'))
  })

  it('notices by a doubt that the store does not answer here, though others tell what it holds', async t => {
    const { clock, store, fleet } = await createFleet()
    const quiet = 'e'
    store.dark.add(quiet)
    fleet.get(quiet).knowledge.doubt()
    await clock.advanceBy(100)
    t.false(fleet.get(quiet).knowledge.hasStore)
    store.dark.clear()
    await clock.advanceBy(2500)
    t.true(fleet.get(quiet).knowledge.hasStore)
  })

  it('does not wait for a silence when those that watch operators\' records are turned away', async t => {
    const { clock, store, fleet } = await createFleet()
    await clock.advanceBy(300)
    const watching = NAMES.filter(name => store.held.has(name))
    t.is(watching.length, 3)
    watching.forEach(name => store.dark.add(name))
    await clock.advanceBy(10)
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + 700, String(latest(fleet, 'config', NAMES) - at))
  })
})
