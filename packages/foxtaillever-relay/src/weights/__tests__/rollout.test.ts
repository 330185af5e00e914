import fc from 'fast-check'
import { describe, it, type VirtualClock } from 'foxtaillever-testing'
import { OrderingFleet, PAUSE_MS, type Instance } from '../__fixtures__/orderingFleet.js'

/** What may happen to an instance or to all orders. */
enum Trouble {
  Freeze = 'freeze',
  Suspend = 'suspend',
  StoreDown = 'store-down',
  AppendsLost = 'appends-lost',
  Cut = 'cut',
  OrdersLate = 'orders-late',
  DatagramsLost = 'datagrams-lost',
  GivesUp = 'gives-up',
  EngineStartsAgain = 'engine-starts-again',
  StoreRestored = 'store-restored'
}

interface Event {
  readonly trouble: Trouble
  readonly at: number
  readonly forMs: number
  readonly whose: number
}

const PLAYED_MS = 20_000
/** The longest late append or order, a holder's term, the pause and a whole rollout. */
const CALM_MS = 30_000
const RUNS = 60

type Handler = (fleet: OrderingFleet, instance: Instance, event: Event) => () => void

/** Each returns what ends it. */
const handlers: Readonly<Record<Trouble, Handler>> = {
  [Trouble.Freeze]: (_, { clock }, { forMs }) => {
    clock.freeze(forMs, false)
    return () => {}
  },
  [Trouble.Suspend]: (_, { clock }, { forMs }) => {
    clock.freeze(forMs, true)
    return () => {}
  },
  [Trouble.StoreDown]: (_, { weather }) => {
    weather.isDown = true
    return () => { weather.isDown = false }
  },
  [Trouble.AppendsLost]: (_, { weather }) => {
    weather.lostShare = 0.5
    return () => { weather.lostShare = 0 }
  },
  [Trouble.Cut]: (_, instance) => {
    instance.isCut = true
    return () => { instance.isCut = false }
  },
  [Trouble.OrdersLate]: ({ engines }) => {
    engines.options.lateShare = 0.5
    return () => { engines.options.lateShare = 0 }
  },
  [Trouble.DatagramsLost]: fleet => {
    const { lostShare } = fleet
    fleet.lostShare = 0.7
    return () => { fleet.lostShare = lostShare }
  },
  [Trouble.EngineStartsAgain]: (fleet, _, { whose }) => {
    fleet.restart(`engine-${whose}`)
    return () => {}
  },
  [Trouble.StoreRestored]: ({ store, instances }, _, { forMs }) => {
    instances.forEach(({ weather }) => { weather.isDown = true })
    return () => {
      store.restore(forMs)
      instances.forEach(({ weather }) => { weather.isDown = false })
    }
  },
  [Trouble.GivesUp]: (_, { lease }) => {
    lease.release()
    return () => {}
  }
}

const event = fc.record({
  trouble: fc.constantFrom(...Object.values(Trouble)),
  at: fc.integer({ min: 0, max: PLAYED_MS }),
  forMs: fc.integer({ min: 200, max: 6000 }),
  whose: fc.integer({ min: 0, max: 2 })
})

interface Day {
  readonly seed: number
  readonly engines: number
  readonly events: readonly Event[]
  /** Between two versions that are named, milliseconds. */
  readonly namedEvery: number
}

const day = fc.record({
  seed: fc.integer({ min: 1, max: 1e6 }),
  engines: fc.constantFrom(6, 42),
  events: fc.array(event, { maxLength: 6 }),
  namedEvery: fc.integer({ min: 700, max: 4000 })
})

const LAST_VERSION = 6

async function play ({ seed, engines, events, namedEvery }: Day): Promise<OrderingFleet> {
  const fleet = OrderingFleet.create({ seed, engines })
  const { clock, instances } = fleet
  const start = clock.now()
  for (const played of events) {
    clock.at(start + played.at, () => {
      const end = handlers[played.trouble](fleet, instances[played.whose] as Instance, played)
      clock.at(start + played.at + played.forMs, end)
    })
  }
  for (let version = 2; version <= LAST_VERSION; version++) {
    clock.at(start + (version - 1) * namedEvery, () => fleet.name(version))
  }
  await clock.advanceBy(PLAYED_MS + CALM_MS)
  return fleet
}

/** Orders that break what engines are owed: two holders must not take turns within the pause, nor share or lower a fence. */
function wrongOrders ({ engines }: OrderingFleet): string[] {
  return engines.arrived.flatMap((order, index) => {
    const before = engines.arrived[index - 1]
    if (!before || before.holder === order.holder) {
      return []
    }
    const turn = order.at - before.at < PAUSE_MS ? [`turn after ${order.at - before.at} ms`] : []
    return order.fence <= before.fence ? [...turn, `fence ${order.fence} after ${before.fence}`] : turn
  })
}

async function take (clock: VirtualClock, instance: Instance | undefined): Promise<boolean | undefined> {
  const taken = instance?.lease.take()
  await clock.advanceBy(20)
  return await taken
}

describe('new weights', () => {
  // Operators name weights; half a second later every engine must begin to have them, without all of them loading at once.
  it('reach half of the engines within a second and the others soon after', async t => {
    const fleet = OrderingFleet.create()
    fleet.name(2)
    await fleet.clock.advanceBy(2000)
    t.true(fleet.engines.versions.filter(version => version === 2).length >= 3)
    t.true(fleet.engines.loading <= 2)
    await fleet.clock.advanceBy(2000)
    t.deepEqual(fleet.engines.versions, [2, 2, 2, 2, 2, 2])
    t.is(fleet.engines.arrived.length, 6)
  })

  // A version is named while the one before is still on its way. Loading both would take an engine out of service twice.
  it('go straight to the newest version', async t => {
    const fleet = OrderingFleet.create()
    fleet.name(2)
    await fleet.clock.advanceBy(300)
    fleet.name(3)
    await fleet.clock.advanceBy(4000)
    t.deepEqual(fleet.engines.versions, [3, 3, 3, 3, 3, 3])
    t.true(fleet.engines.arrived.filter(({ version }) => version === 2).length <= 2)
  })

  // Guards against orders to an engine that wants nothing, and against waiting for it.
  it('go to the other engines first where one asked for rest, and there after it', async t => {
    const fleet = OrderingFleet.create()
    const { clock, engines, instances } = fleet
    const until = clock.now() + 5000
    instances.forEach(({ directory }) => directory.newestStated('engine-0')?.recordBackoff(until, clock.now()))
    fleet.name(2)
    await clock.advanceTo(until - 1)
    t.deepEqual(engines.versions, [1, 2, 2, 2, 2, 2])
    await clock.advanceBy(2000)
    t.deepEqual(engines.versions, [2, 2, 2, 2, 2, 2])
    t.true(engines.arrived.filter(({ engine }) => engine === 'engine-0').every(({ at }) => at >= until))
  })

  // Half of the fleet changes while requests run there; the rest may wait, and what its long runs make keeps its worth.
  it('wait at the last engines for runs that end soon', async t => {
    const fleet = OrderingFleet.create()
    const { clock, engines } = fleet
    engines.options.ids.forEach(id => engines.run(id, clock.now() + 2500))
    fleet.name(2)
    await clock.advanceBy(6000)
    t.deepEqual(engines.versions, [2, 2, 2, 2, 2, 2])
    t.is(engines.arrived.filter(({ wasRunning }) => wasRunning).length, 4)
  })

  // The one who gives orders is cut off from the store in the middle of a rollout to forty engines. Were the lease to end
  // for that, nobody would give orders for the term and the pause, four seconds in which answers lose a fifth of their worth.
  it('go on at all engines while the holder reaches the store by way of others only', async t => {
    const fleet = OrderingFleet.create({ engines: 42 })
    const { clock, engines, instances } = fleet
    fleet.name(2)
    await clock.advanceBy(600)
    const holder = instances.find(({ name }) => name === engines.arrived[0]?.holder)
    if (holder) {
      holder.weather.isDown = true
    }
    await clock.advanceBy(5400)
    t.deepEqual(new Set(engines.versions), new Set([2]))
    t.deepEqual(new Set(engines.arrived.map(order => order.holder)), new Set([holder?.name]))
    t.is(engines.arrived.length, 42)
  })

  // A holder that shuts down says so, and its orders need not be waited for beyond the pause.
  it('wait no longer than the pause for another holder when the one before gives up the lease', async t => {
    const fleet = OrderingFleet.create({ engines: 42 })
    const { clock, engines, instances } = fleet
    fleet.name(2)
    await clock.advanceBy(600)
    const holder = instances.find(({ name }) => name === engines.arrived[0]?.holder)
    holder?.desk.stop()
    const ended = clock.now()
    await clock.advanceBy(PAUSE_MS + 1500)
    const next = engines.arrived.find(order => order.holder !== holder?.name)
    t.true(next !== undefined && next.at - ended >= PAUSE_MS && next.at - ended < PAUSE_MS + 1200)
  })

  // The one that is to give the orders asks for the lease. The store grants it, the answer is lost, and no further call gets
  // through. The others see a holder that may order for seconds more, and all requests run on replaced weights meanwhile.
  it('are not held up by a lease whose grant was never heard', async t => {
    const fleet = OrderingFleet.create()
    const first = fleet.instances.find(instance => fleet.rankOf(instance) === 0)
    await fleet.clock.advanceBy(PAUSE_MS)
    Object.assign(first?.weather ?? {}, { lostShare: 1, mostLateMs: 1 })
    fleet.name(2)
    await fleet.clock.advanceBy(3500)
    t.true(fleet.engines.versions.filter(version => version === 2).length >= 3)
  })

  // Guards against fencing numbers that engines refuse, and against a second holder, after the store forgot the lease.
  it('go on by one holder at a time when the store is restored from a copy without the lease', async t => {
    const fleet = OrderingFleet.create({ engines: 42 })
    const { clock, engines, store } = fleet
    fleet.name(2)
    await clock.advanceBy(1500)
    store.restore(1500)
    fleet.name(3)
    await clock.advanceBy(12_000)
    t.deepEqual(wrongOrders(fleet), [])
    t.deepEqual(new Set(engines.versions), new Set([3]))
  })

  // Guards against a former holder that takes its own old record in the copy for the newest.
  it('are not ordered by a former holder whose record is the newest in the copy', async t => {
    const fleet = OrderingFleet.create({ instances: 2 })
    const { clock, store, instances: [former, holder] } = fleet
    t.true(await take(clock, former))
    await clock.advanceBy(1000)
    if (former) {
      former.isCut = true
    }
    await clock.advanceBy(PAUSE_MS + 1500)
    t.true(await take(clock, holder))
    await clock.advanceBy(10)
    store.restore(PAUSE_MS)
    t.false(await take(clock, former))
    await clock.advanceBy(PAUSE_MS)
    t.false(await take(clock, former))
    await clock.advanceBy(1500)
    t.true(await take(clock, former))
  })

  // Machines freeze, lose the store or each other, appends and orders come late: engines must never hear two holders in
  // turn, and when calm returns, all of them have the newest weights.
  it('arrive everywhere by one holder at a time, whatever happens meanwhile', async t => {
    await fc.assert(fc.asyncProperty(day, async played => {
      const fleet = await play(played)
      t.deepEqual(wrongOrders(fleet), [])
      t.deepEqual(new Set(fleet.engines.versions), new Set([LAST_VERSION]))
    }), { numRuns: RUNS, seed: 20 })
  })
})
