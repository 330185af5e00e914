/**
 * Every call to the platform's store costs money, so few instances read it and
 * notify the others. If a reader dies, is cut off from the store or its notices are
 * lost, the others must still learn of changes in time. Otherwise they send requests
 * to servers that have left, and use a configuration that is no longer in force.
 */
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFleet, FakeStore } from '../__fixtures__/fakeFleet.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i']

/** Time limit for a server's leaving or a new configuration to reach all instances, milliseconds. */
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
  const sendHeartbeat = (): void => {
    const last = store.topics.get('servers')?.filter(({ key }) => key === 'beating').at(-1)
    if (last?.value !== undefined || last === undefined) {
      store.append('servers', 'beating', `ready|${count++}`)
    }
    clock.at(clock.now() + HEARTBEAT_MS, sendHeartbeat)
  }
  sendHeartbeat()
  await clock.advanceBy(5000)
  return { clock, store, fleet }
}

function latest (fleet: FakeFleet, key: string, names: readonly string[]): number {
  return Math.max(...names.map(name => fleet.get(name).learnedAt.get(key) ?? Infinity))
}

describe('StoreReplica', () => {
  it('is read by few instances and current on all', async t => {
    const { clock, store, fleet } = await createFleet()
    store.calls = 0
    await clock.advanceBy(7000)
    t.true(store.calls <= 24, `${store.calls} calls in 7 s by 9 instances`)
    store.append('servers', 's', 'draining')
    const at = clock.now()
    await clock.advanceBy(BOUND_MS)
    t.true(NAMES.every(name => fleet.get(name).values.get('s') === 'draining'))
    t.true(latest(fleet, 's', NAMES) <= at + 800)
  })

  for (const count of [1, 3, 8]) {
    it(`is current within the time limit after any ${count} instances die`, async t => {
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

  it('reaches instances at once that cannot reach the store', async t => {
    const { clock, store, fleet } = await createFleet()
    const unreachable = NAMES.slice(0, 4)
    unreachable.forEach(name => store.unreachableFrom.add(name))
    await clock.advanceBy(3000)
    store.append('servers', 's', 'draining')
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + 100)
    t.true(latest(fleet, 's', NAMES) < at + 1000)
  })

  it('is current within the time limit though all notices are lost', async t => {
    const { clock, store, fleet } = await createFleet()
    NAMES.forEach(name => fleet.muted.add(name))
    await clock.advanceBy(3000)
    store.append('servers', 's', 'draining')
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 's', NAMES) < at + BOUND_MS)
    t.true(latest(fleet, 'config', NAMES) < at + BOUND_MS)
  })

  it('is read again soon after the store was down for all instances', async t => {
    const { clock, store, fleet } = await createFleet()
    NAMES.forEach(name => store.unreachableFrom.add(name))
    await clock.advanceBy(8000)
    store.append('servers', 's', undefined)
    store.append('operators', 'config', 'two')
    store.unreachableFrom.clear()
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + BOUND_MS)
    // For two seconds, missing entries may be written again.
    t.true(NAMES.every(name => fleet.get(name).replica.removalsDeferredUntil >= at + BOUND_MS))
  })

  it('announces a reversed removal, though the entry has the same contents as before', async t => {
    const { clock, store, fleet } = await createFleet()
    store.append('servers', 's', undefined)
    await clock.advanceBy(1500)
    t.true(NAMES.every(name => fleet.get(name).values.get('s') === ''))
    store.append('servers', 's', 'ready')
    await clock.advanceBy(1500)
    t.true(NAMES.every(name => fleet.get(name).values.get('s') === 'ready'))
  })

  it('detects by checkStore that the store does not answer here, though others announce its contents', async t => {
    const { clock, store, fleet } = await createFleet()
    const name = 'e'
    store.unreachableFrom.add(name)
    fleet.get(name).replica.checkStore()
    await clock.advanceBy(100)
    t.false(fleet.get(name).replica.hasStore)
    store.unreachableFrom.clear()
    await clock.advanceBy(2500)
    t.true(fleet.get(name).replica.hasStore)
  })

  it('does not wait for a timeout when the instances that wait for operators\' records lose the store', async t => {
    const { clock, store, fleet } = await createFleet()
    await clock.advanceBy(300)
    const watching = NAMES.filter(name => store.held.has(name))
    t.is(watching.length, 3)
    watching.forEach(name => store.unreachableFrom.add(name))
    await clock.advanceBy(10)
    store.append('operators', 'config', 'two')
    const at = clock.now()
    await clock.advanceBy(4000)
    t.true(latest(fleet, 'config', NAMES) < at + 700, String(latest(fleet, 'config', NAMES) - at))
  })
})
