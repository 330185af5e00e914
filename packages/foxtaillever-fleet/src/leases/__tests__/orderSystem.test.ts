import { EngineRole, OrderKind, RecordKind, SeededRandom, type EngineOrder } from 'foxtaillever-core'
import { EngineModel, LocalLog, LogModel, type WeightStore } from 'foxtaillever-standins'
import { describe, it, VirtualClock } from 'foxtaillever-testing'
import { Right } from 'purify-ts'
import { LogReader } from '../../log/logReader.js'
import { LEASE_TERM_MS } from '../lease.js'
import { LeaseFold } from '../leaseFold.js'
import { LeaseHolder } from '../leaseHolder.js'
import { OrderSystem, WantState, type OrderPort } from '../orderSystem.js'
import { WantFold, type Want } from '../wantedState.js'

const TICK_MS = 50
const LOAD_MS = 900

/** Takes a while for each load and remembers the most at once. */
class CountingStore implements WeightStore {
  running = 0
  most = 0

  constructor (private readonly clock: VirtualClock) {}

  load (done: () => void): void {
    this.running += 1
    this.most = Math.max(this.most, this.running)
    this.clock.at(this.clock.now() + LOAD_MS, () => {
      this.running -= 1
      done()
    })
  }
}

class OrderRig {
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
    const wants = WantFold.create()
    const port: OrderPort = {
      state: async server => Right(this.engine(server).state()),
      give: async (server, order, fence) => fence().chain(number => this.engine(server).give({ order, fence: number, caller: instance }))
    }
    const system = OrderSystem.create({ clock: this.clock, holder, wants, port, servers: () => [...this.engines.keys()] })
    LogReader.create(log, this.clock, [record => holder.read(record), wants.read]).start()
    const member = { holder, log, system, wants, isPaused: false }
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

  want (server: string, order: EngineOrder): void {
    this.log.append({ id: order.id, kind: RecordKind.Order, writtenAt: this.clock.now(), body: { server, author: 'operator', order } })
  }
}

function loadOf (version: string): EngineOrder {
  return { id: `load-${version}`, kind: OrderKind.LoadVersion, model: 'm', weightsVersion: version }
}

describe('orders to backend servers', () => {
  it('load at most two at once, whatever is wanted', async t => {
    // A new version is wanted everywhere at once; six loads together would
    // slow the weight store down for all of them.
    const rig = new OrderRig(['a', 'b', 'c', 'd', 'e', 'f'], false)
    rig.start('one')
    for (const name of rig.engines.keys()) {
      rig.want(name, loadOf('v2'))
    }
    await rig.clock.advanceBy(20_000)
    t.deepEqual([...rig.engines.values()].map(engine => engine.state().weightsVersion), Array(6).fill('v2'))
    t.is(rig.store.most, 2)
  })

  it('load at most two at once also when the holder changes in the middle', async t => {
    // The holder is cut off from the log with two loads under way; its
    // successor must count them.
    const rig = new OrderRig(['a', 'b', 'c', 'd', 'e', 'f'], false)
    const members = [rig.start('one'), rig.start('two')]
    await rig.clock.advanceBy(500)
    const holder = members.find(member => member.holder.isHeld())
    for (const name of rig.engines.keys()) {
      rig.want(name, loadOf('v2'))
    }
    await rig.clock.advanceBy(600)
    if (holder) {
      holder.log.isPartitioned = true
    }
    await rig.clock.advanceBy(4 * LEASE_TERM_MS)
    t.deepEqual([...rig.engines.values()].map(engine => engine.state().weightsVersion), Array(6).fill('v2'))
    t.is(rig.store.most, 2)
  })

  it('put a restarted engine right again', async t => {
    // An engine comes back with the weights of its settings; nobody orders anew.
    const rig = new OrderRig(['a'], false)
    const { system, wants } = rig.start('one')
    rig.want('a', loadOf('v2'))
    await rig.clock.advanceBy(5000)
    rig.engine('a').crash()
    t.is(rig.engine('a').state().weightsVersion, 'v1')
    await rig.clock.advanceBy(5000)
    t.is(rig.engine('a').state().weightsVersion, 'v2')
    t.is(system.stateOf(wants.all()[0] as Want), WantState.Done)
  })

  it('undo a late order of a predecessor at an engine that ignores fencing', async t => {
    // A process was stopped between its check and the byte, for longer than
    // its lease; its old order arrives after the new one was carried out.
    const rig = new OrderRig(['a'], false)
    rig.start('one')
    rig.want('a', loadOf('v2'))
    rig.want('a', loadOf('v3'))
    await rig.clock.advanceBy(5000)
    t.is(rig.engine('a').state().weightsVersion, 'v3')
    rig.engine('a').give({ order: loadOf('v2'), fence: 1, caller: 'paused' })
    await rig.clock.advanceBy(LOAD_MS + 200)
    t.is(rig.engine('a').state().weightsVersion, 'v2')
    await rig.clock.advanceBy(5000)
    t.is(rig.engine('a').state().weightsVersion, 'v3')
  })

  it('end the same everywhere when operators race', async t => {
    const rig = new OrderRig(['a'], true)
    rig.start('one')
    rig.want('a', { id: 'first', kind: OrderKind.ChangeRole, role: EngineRole.Prefill })
    rig.want('a', { id: 'second', kind: OrderKind.ChangeRole, role: EngineRole.Decode })
    await rig.clock.advanceBy(5000)
    t.is(rig.engine('a').state().role, EngineRole.Decode)
  })
})
