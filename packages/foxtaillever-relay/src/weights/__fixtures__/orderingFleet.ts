/** Several instances that order weights, over one store, with engines; instances freeze, are cut off and hear each other or not. */
import { hashNumber, SeededRandom, waitUntil, type Cancellation, type Clock } from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing'
import { ServerState } from '../../model/listedServer.js'
import type { Routing } from '../../model/routing.js'
import type { LeaseUpdate, WeightsUpdate } from '../../peers/peerMessage.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import type { FenceLog } from '../fenceLog.js'
import { LentFenceLog } from '../lentFenceLog.js'
import { OrderLease } from '../orderLease.js'
import { WeightsDesk } from '../weightsDesk.js'
import { FakeEngines } from './fakeEngines.js'
import { FakeFenceLog, type Weather } from './fakeFenceLog.js'

/** The configuration has the engines' service. */
const routing: Routing = {
  revision: 1,
  routes: [],
  services: new Map([['engines', { name: 'engines', healthPath: '', mostConnections: 300, engine: undefined }]]),
  cacheStores: [],
  accounts: [],
  limits: { headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }
}

export const MODEL = 'model'
export const PAUSE_MS = 3000
const BEAT_MS = 1000
const DATAGRAM_MS = 1
const USUALLY_LOST = 0.05
/** Until a new entry of the list is read, milliseconds at most. */
const LISTED_MS = 2000

/** The clock of a machine that can freeze: its tasks come when it has thawed. Suspended, its steady clock stands still meanwhile. */
class FreezableClock implements Clock {
  private frozenUntil = 0
  private stoodStillMs = 0

  constructor (private readonly base: Clock) {}

  now (): number {
    return this.base.now() - this.stoodStillMs
  }

  at (deadline: number, task: () => void): Cancellation {
    let cancel: Cancellation = () => {}
    const run = (): void => {
      if (this.base.now() < this.frozenUntil) {
        cancel = this.base.at(this.frozenUntil, run)
        return
      }
      task()
    }
    cancel = this.base.at(deadline + this.stoodStillMs, run)
    return () => cancel()
  }

  freeze (forMs: number, isSuspended: boolean): void {
    this.frozenUntil = this.base.now() + forMs
    this.stoodStillMs += isSuspended ? forMs : 0
  }

  /** An answer that came meanwhile is read after the thaw. */
  async read<T> (answer: Promise<T>): Promise<T> {
    const value = await answer
    if (this.base.now() < this.frozenUntil) {
      await waitUntil(this.base, this.frozenUntil)
    }
    return value
  }
}

export class Instance {
  readonly weather: Weather = { lostShare: 0, isDown: false }
  readonly clock: FreezableClock
  readonly directory = ServerDirectory.create({ onChanged: () => {} })
  readonly lease: OrderLease
  readonly desk: WeightsDesk
  /** The store as this instance reaches it by itself. */
  readonly storeLog: FenceLog
  /** Hears nothing and is not heard. */
  isCut = false

  constructor (private readonly fleet: OrderingFleet, readonly name: string) {
    const { clock, store, engines } = fleet
    const own = new FreezableClock(clock)
    this.clock = own
    this.storeLog = store.through(this.weather)
    const log = LentFenceLog.create({ clock: own, random: fleet.random, own: this.storeLog, lenders: () => fleet.lendersTo(this), through: name => fleet.logThrough(this, name), onFailed: () => {} })
    const uptime = (): number => clock.now() / 1000
    this.lease = OrderLease.create({
      clock: this.clock,
      uptime,
      topic: 'lease',
      holder: name,
      incarnation: name,
      pauseMs: PAUSE_MS,
      onChanged: news => fleet.send(this, news),
      onReleased: () => fleet.send(this, this.lease.news()),
      log: { append: async (...call) => await own.read(log.append(...call)), readAt: async (...call) => await own.read(log.readAt(...call)) }
    })
    this.desk = WeightsDesk.create({
      clock: this.clock,
      holder: name,
      directory: this.directory,
      lease: this.lease,
      orders: { report: async server => await own.read(engines.report(server)), order: async (...call) => await own.read(engines.order(...call)) },
      log: RelayLog.create(Logs.create({ instance: name, level: 'fatal', clock })),
      rank: () => fleet.rankOf(this),
      outstandingAt: ({ listed }) => engines.outstandingAt(listed.id),
      waitMsAt: () => fleet.waitMs,
      tell: news => fleet.send(this, undefined, news)
    })
    this.directory.configure(routing)
    engines.options.ids.forEach((id, offset) => this.list(id, 1, 1, offset))
    this.beat()
  }

  /** The list has an entry of an engine. */
  list (id: string, startedAt: number, version: number, offset: number): void {
    this.directory.observe({
      id, startedAt, service: 'engines', address: '127.0.0.1:1', failureDomain: 'a', slots: 48, state: ServerState.Ready, coldLeftMs: 0, weights: new Map([[MODEL, version]])
    }, offset)
  }

  hear (lease: LeaseUpdate | undefined, news: readonly WeightsUpdate[]): void {
    if (lease) {
      this.lease.observe(lease)
    }
    news.forEach(one => this.desk.observe(one))
  }

  private beat (): void {
    this.fleet.send(this, this.lease.news())
    this.clock.at(this.clock.now() + BEAT_MS, () => this.beat())
  }
}

export class OrderingFleet {
  readonly clock = VirtualClock.create()
  readonly random: SeededRandom
  readonly engines: FakeEngines
  readonly store: FakeFenceLog
  readonly instances: Instance[]
  /** Of the next entry of the list. */
  private offset = 1000
  /** How long prompts wait at each engine, milliseconds; may change on the way. */
  waitMs = 0
  /** Share of the datagrams that are lost; may change on the way. */
  lostShare = USUALLY_LOST

  private constructor (seed: number, engines: number, instances: number) {
    this.random = SeededRandom.create(seed)
    const ids = Array.from({ length: engines }, (_, index) => `engine-${index}`)
    this.engines = FakeEngines.create({ clock: this.clock, random: this.random, model: MODEL, ids, lateShare: 0 })
    this.store = FakeFenceLog.create(this.clock, this.random)
    this.instances = []
    Array.from({ length: instances }, (_, index) => this.instances.push(new Instance(this, `instance-${index}`)))
  }

  static create ({ seed = 1, engines = 6, instances = 3 } = {}): OrderingFleet {
    return new OrderingFleet(seed, engines, instances)
  }

  /** Operators name a version; every instance that reaches the store learns it. */
  name (version: number): void {
    this.instances.forEach(({ clock, desk }) => clock.at(clock.now() + this.random.below(BEAT_MS / 10), () => desk.name(MODEL, version)))
  }

  /** An engine starts again under its id; each instance reads so in the list after a while. */
  restart (id: string): void {
    const { startedAt, version } = this.engines.restart(id)
    const offset = this.offset++
    this.instances.forEach(instance => instance.clock.at(this.clock.now() + this.random.below(LISTED_MS), () => instance.list(id, startedAt, version, offset)))
  }

  /** Datagrams, of which some are lost. */
  send (from: Instance, lease: LeaseUpdate | undefined, news: readonly WeightsUpdate[] = []): void {
    for (const other of this.instances.filter(instance => instance !== from && !instance.isCut && !from.isCut)) {
      if (this.random.next() >= this.lostShare) {
        other.clock.at(this.clock.now() + DATAGRAM_MS, () => other.hear(lease, news))
      }
    }
  }

  /** Names of the others that the store answers, as far as the instance knows. */
  lendersTo (instance: Instance): string[] {
    return this.instances.filter(other => other !== instance && !other.weather.isDown).map(({ name }) => name)
  }

  /** The store by way of another instance; nothing answers where one of both is cut off. */
  logThrough (from: Instance, name: string): FenceLog {
    const other = this.instances.find(instance => instance.name === name) ?? from
    const isDown = from.isCut || other.isCut
    return isDown ? this.store.through({ lostShare: 0, isDown }) : other.storeLog
  }

  rankOf (instance: Instance): number {
    const last = instance.lease.lastHolder
    const order = [...this.instances].sort((one, other) => Number(other.name === last) - Number(one.name === last) || hashNumber(one.name) - hashNumber(other.name))
    return instance.weather.isDown ? this.instances.length : order.indexOf(instance)
  }
}
