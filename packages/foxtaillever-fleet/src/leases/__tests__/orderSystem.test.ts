import { EngineRole, OrderKind, RecordKind, SeededRandom, type EngineOrder } from 'foxtaillever-core'
import { EngineModel, LocalLog, LogModel, type WeightStore } from 'foxtaillever-standins'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { LogReader } from '../../log/logReader.js'
import { LEASE_TERM_MS } from '../lease.js'
import { LeaseFold } from '../leaseFold.js'
import { LeaseHolder } from '../leaseHolder.js'
import { OrderSystem, FulfilmentState, type OrderPort } from '../orderSystem.js'
import { DesiredOrders, type DesiredOrder } from '../desiredOrders.js'

const TICK_MS = 50
const LOAD_MS = 900

/** Takes `LOAD_MS` for each load and records the maximum number of loads at once. */
class CountingStore implements WeightStore {
  running = 0
  maxRunning = 0

  constructor (private readonly clock: VirtualClock) {}

  load (done: () => void): void {
    this.running += 1
    this.maxRunning = Math.max(this.maxRunning, this.running)
    this.clock.at(this.clock.now() + LOAD_MS, () => {
      this.running -= 1
      done()
    })
  }
}

class OrderFixture {
  readonly clock = VirtualClock.create()
  readonly log = LogModel.create({ retentionMs: 3_600_000, appendsPerSecond: 300 }, this.clock)
  readonly store = new CountingStore(this.clock)
  readonly engines: ReadonlyMap<string, EngineModel>

  constructor (names: readonly string[], checksFencing: boolean) {
    this.engines = new Map(names.map(name => [name, EngineModel.create({
      name, models: ['m'], weightsVersion: 'v1', slots: 4, prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 50, cacheTokens: 4096, cacheKeptMs: 10_000, checksFencing
    }, this.clock, { weightStore: this.store })]))
  }

  start (instance: string) {
    const log = LocalLog.create(this.log, this.clock)
    const holder = LeaseHolder.create({
      name: 'orders', instance, incarnation: instance, log, fold: LeaseFold.create(), clock: this.clock, random: SeededRandom.create(3), isCandidate: () => true
    })
    const desiredOrders = DesiredOrders.create()
    const port: OrderPort = {
      fetchState: async server => Right(this.engine(server).state()),
      sendOrder: async (server, order, fence) => fence().chain(number => this.engine(server).give({ order, fence: number, caller: instance }))
    }
    const system = OrderSystem.create({ clock: this.clock, holder, desiredOrders, port, servers: () => [...this.engines.keys()] })
    LogReader.create(log, this.clock, [record => holder.applyRecord(record), desiredOrders.applyRecord]).start()
    const member = { holder, log, system, desiredOrders, isPaused: false }
    const tick = (): void => {
      if (!member.isPaused) {
        system.tick(this.clock.now())
      }
      this.clock.at(this.clock.now() + TICK_MS, tick)
    }
    tick()
    return member
  }

  engine (name: string): EngineModel {
    const engine = this.engines.get(name)
    if (!engine) {
      throw new Error(`No engine ${name}.`)
    }
    return engine
  }

  addOrder (server: string, order: EngineOrder): void {
    this.log.append({ id: order.id, kind: RecordKind.Order, writtenAt: this.clock.now(), body: { server, author: 'operator', order } })
  }
}

function createLoadOrder (version: string): EngineOrder {
  return { id: `load-${version}`, kind: OrderKind.LoadVersion, model: 'm', weightsVersion: version }
}

describe('orders to backend servers', () => {
  it('load at most two at once, however many are desired', async t => {
    // All six servers are to load a new version; six loads at once would slow
    // the weight store down for all of them.
    const fixture = new OrderFixture(['a', 'b', 'c', 'd', 'e', 'f'], false)
    fixture.start('one')
    for (const name of fixture.engines.keys()) {
      fixture.addOrder(name, createLoadOrder('v2'))
    }
    await fixture.clock.advanceBy(20_000)
    t.deepEqual([...fixture.engines.values()].map(engine => engine.state().weightsVersion), Array(6).fill('v2'))
    t.is(fixture.store.maxRunning, 2)
  })

  it('load at most two at once also when the holder changes during loads', async t => {
    // The holder is cut off from the log while two loads run; its successor
    // must count them.
    const fixture = new OrderFixture(['a', 'b', 'c', 'd', 'e', 'f'], false)
    const members = [fixture.start('one'), fixture.start('two')]
    await fixture.clock.advanceBy(500)
    const holder = members.find(member => member.holder.isHeld())
    for (const name of fixture.engines.keys()) {
      fixture.addOrder(name, createLoadOrder('v2'))
    }
    await fixture.clock.advanceBy(600)
    if (holder) {
      holder.log.isPartitioned = true
    }
    await fixture.clock.advanceBy(4 * LEASE_TERM_MS)
    t.deepEqual([...fixture.engines.values()].map(engine => engine.state().weightsVersion), Array(6).fill('v2'))
    t.is(fixture.store.maxRunning, 2)
  })

  it('correct a restarted engine', async t => {
    // An engine restarts with the weights of its settings, without a new order from an operator.
    const fixture = new OrderFixture(['a'], false)
    const { system, desiredOrders } = fixture.start('one')
    fixture.addOrder('a', createLoadOrder('v2'))
    await fixture.clock.advanceBy(5000)
    fixture.engine('a').crash()
    t.is(fixture.engine('a').state().weightsVersion, 'v1')
    await fixture.clock.advanceBy(5000)
    t.is(fixture.engine('a').state().weightsVersion, 'v2')
    t.is(system.stateOf(desiredOrders.all()[0] as DesiredOrder), FulfilmentState.Done)
  })

  it('undo a late order of a predecessor at an engine that ignores fencing', async t => {
    // A process was suspended between its lease check and the first byte, for
    // longer than its lease; its old order arrives after the new one was executed.
    const fixture = new OrderFixture(['a'], false)
    fixture.start('one')
    fixture.addOrder('a', createLoadOrder('v2'))
    fixture.addOrder('a', createLoadOrder('v3'))
    await fixture.clock.advanceBy(5000)
    t.is(fixture.engine('a').state().weightsVersion, 'v3')
    fixture.engine('a').give({ order: createLoadOrder('v2'), fence: 1, caller: 'paused' })
    await fixture.clock.advanceBy(LOAD_MS + 200)
    t.is(fixture.engine('a').state().weightsVersion, 'v2')
    await fixture.clock.advanceBy(5000)
    t.is(fixture.engine('a').state().weightsVersion, 'v3')
  })

  it('have the same result on every instance when operators race', async t => {
    const fixture = new OrderFixture(['a'], true)
    fixture.start('one')
    fixture.addOrder('a', { id: 'first', kind: OrderKind.ChangeRole, role: EngineRole.Prefill })
    fixture.addOrder('a', { id: 'second', kind: OrderKind.ChangeRole, role: EngineRole.Decode })
    await fixture.clock.advanceBy(5000)
    t.is(fixture.engine('a').state().role, EngineRole.Decode)
  })
})
