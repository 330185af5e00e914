/**
 * An instance asks for the lease, hears no answer and promises not to use it.
 * The others rely on that and may order at once. Were the next try to be taken
 * for the same grant, engines would hear two holders in turn.
 */
import { SeededRandom } from 'foxtaillever-core'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { FakeFenceLog, type Weather } from '../__fixtures__/fakeFenceLog.js'
import { OrderLease } from '../orderLease.js'

const PAUSE_MS = 3000

function createLease (clock: VirtualClock, store: FakeFenceLog, holder: string, weather: Weather): OrderLease {
  const uptime = (): number => clock.now() / 1000
  return OrderLease.create({
    clock, uptime, log: store.through(weather), topic: 'lease', holder, incarnation: holder, pauseMs: PAUSE_MS, onChanged: () => {}, onResigned: () => {}
  })
}

async function take (clock: VirtualClock, lease: OrderLease): Promise<number | undefined> {
  const taken = lease.take()
  await clock.advanceBy(800)
  await taken
  return lease.fence()
}

describe('OrderLease', () => {
  it('gives no orders under a record that it has promised not to use', async t => {
    const clock = VirtualClock.create()
    const store = FakeFenceLog.create(clock, SeededRandom.create(1))
    const weather = { lostShare: 0, mostLateMs: 1, isDown: true }
    const lease = createLease(clock, store, 'a', weather)
    t.is(await take(clock, lease), undefined)
    t.is(lease.resignation()?.offset, 0)
    weather.isDown = false
    t.is(await take(clock, lease), undefined)
    t.is(store.records.length, 1)
    t.is(await take(clock, lease), 1)
  })

  it('is waited for again by the others when it is taken later', async t => {
    const clock = VirtualClock.create()
    const store = FakeFenceLog.create(clock, SeededRandom.create(1))
    const weather = { lostShare: 0, mostLateMs: 1, isDown: true }
    const one = createLease(clock, store, 'a', weather)
    const other = createLease(clock, store, 'b', { ...weather, isDown: false })
    await clock.advanceBy(PAUSE_MS)
    await take(clock, one)
    weather.isDown = false
    await take(clock, one)
    await take(clock, one)
    const resignation = one.resignation()
    t.truthy(resignation)
    if (resignation) {
      other.observeResigned(resignation)
    }
    t.is(await take(clock, other), undefined)
    t.is(await take(clock, other), undefined)
    t.is(store.records.length, 2)
  })
})
