/** Several instances that order weights, with one store and fake engines; instances can freeze, be partitioned and lose datagrams. */
import { hashNumber, SeededRandom, waitUntil, type Cancellation, type Clock } from 'foxtaillever-core'
import { Logs } from 'foxtaillever-telemetry'
import { VirtualClock } from 'foxtaillever-testing'
import { CacheIsolation } from '../../cache/cacheIsolation.js'
import { ServerState } from '../../model/listedServer.js'
import type { Routing } from '../../model/routing.js'
import type { LeaseUpdate, WeightsUpdate } from '../../peers/peerMessage.js'
import { ServerDirectory } from '../../servers/serverDirectory.js'
import { RelayLog } from '../../telemetry/relayLog.js'
import type { FenceLog } from '../fenceLog.js'
import { ProxiedFenceLog } from '../proxiedFenceLog.js'
import { leaseHolderOf } from '../leaseHolder.js'
import { OrderLease } from '../orderLease.js'
import { WeightsRollout } from '../weightsRollout.js'
import { FakeEngines } from './fakeEngines.js'
import { FakeFenceLog, type StoreConditions } from './fakeFenceLog.js'

/** A configuration with the engines' service. */
const routing: Routing = {
  revision: 1,
  routes: [],
  services: new Map([['engines', { name: 'engines', healthPath: '', mostConnections: 300, engine: undefined }]]),
  cacheStores: [],
  accounts: [],
  cacheIsolation: CacheIsolation.create([]),
  limits: { headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 }
}

export const MODEL = 'model'
export const PAUSE_MS = 3000
const HEARTBEAT_MS = 1000
const DATAGRAM_MS = 1
const USUAL_LOST_SHARE = 0.05
/** Longest delay until an instance reads a new entry of the list, milliseconds. */
const MAX_LISTING_DELAY_MS = 2000

/** The clock of a machine that can freeze: tasks that fall due meanwhile run after it resumes. While it is suspended, its steady clock is paused too. */
class FreezableClock implements Clock {
  private frozenUntil = 0
  private suspendedMs = 0

  constructor (private readonly base: Clock) {}

  now (): number {
    return this.base.now() - this.suspendedMs
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
    cancel = this.base.at(deadline + this.suspendedMs, run)
    return () => cancel()
  }

  freeze (forMs: number, isSuspended: boolean): void {
    this.frozenUntil = this.base.now() + forMs
    this.suspendedMs += isSuspended ? forMs : 0
  }

  /** Delays an answer that arrives during a freeze until the machine resumes. */
  async read<T> (answer: Promise<T>): Promise<T> {
    const value = await answer
    if (this.base.now() < this.frozenUntil) {
      await waitUntil(this.base, this.frozenUntil)
    }
    return value
  }
}

export class Instance {
  readonly storeConditions: StoreConditions = { lostShare: 0, isDown: false }
  readonly clock: FreezableClock
  readonly directory = ServerDirectory.create({ onChanged: () => {} })
  readonly lease: OrderLease
  readonly rollout: WeightsRollout
  /** The store as this instance reaches it by itself. */
  readonly storeLog: FenceLog
  /** Neither receives nor sends datagrams. */
  isPartitioned = false
  /** Whether its links to the engines work. */
  reachesServers = true

  /** Address of its machine; a replacement under the same name has another one. */
  readonly address: string

  constructor (private readonly fleet: OrderingFleet, readonly name: string) {
    this.address = `machine-${fleet.machines++}:7340`
    const { clock, store, engines } = fleet
    const own = new FreezableClock(clock)
    this.clock = own
    this.storeLog = store.through(this.storeConditions)
    const log = ProxiedFenceLog.create({ clock: own, random: fleet.random, own: this.storeLog, proxies: () => fleet.proxiesFor(this), through: name => fleet.logThrough(this, name), onFailed: () => {} })
    const uptime = (): number => clock.now() / 1000
    this.lease = OrderLease.create({
      clock: this.clock,
      uptime,
      topic: 'lease',
      holder: this.holder,
      incarnation: this.address,
      pauseMs: PAUSE_MS,
      onChanged: snapshot => fleet.send(this, snapshot),
      onReleased: () => fleet.send(this, this.lease.snapshot()),
      log: { append: async (...call) => await own.read(log.append(...call)), readAt: async (...call) => await own.read(log.readAt(...call)) }
    })
    this.rollout = WeightsRollout.create({
      reachesServers: () => this.reachesServers,
      clock: this.clock,
      // The oracle tells machines apart, whatever name they bear.
      holder: this.address,
      directory: this.directory,
      lease: this.lease,
      orders: { report: async server => await own.read(engines.report(server)), order: async (...call) => await own.read(engines.order(...call)) },
      log: RelayLog.create(Logs.create({ instance: name, level: 'fatal', clock })),
      rank: () => fleet.rankOf(this),
      outstandingAt: ({ listed }) => engines.outstandingAt(listed.id),
      waitMsAt: () => fleet.waitMs,
      announce: updates => fleet.send(this, undefined, updates)
    })
    this.directory.configure(routing)
    engines.options.ids.forEach((id, offset) => this.list(id, 1, 1, offset))
    this.heartbeat()
  }

  get holder (): string {
    return leaseHolderOf(this)
  }

  /** Its machine is gone for good: nothing more of it happens but what is on its way. */
  end (): void {
    this.isPartitioned = true
    this.clock.freeze(Infinity, false)
  }

  /** Adds an entry of an engine to this instance's list. */
  list (id: string, startedAt: number, version: number, offset: number): void {
    this.directory.applyEntry({
      id, startedAt, service: 'engines', address: '127.0.0.1:1', failureDomain: 'a', slots: 48, state: ServerState.Ready, coldLeftMs: 0, softwareVersion: 'v1', weights: new Map([[MODEL, version]])
    }, offset)
  }

  receive (lease: LeaseUpdate | undefined, updates: readonly WeightsUpdate[]): void {
    if (lease) {
      this.lease.applySnapshot(lease)
    }
    updates.forEach(update => this.rollout.applyUpdate(update))
  }

  private heartbeat (): void {
    this.fleet.send(this, this.lease.snapshot())
    this.clock.at(this.clock.now() + HEARTBEAT_MS, () => this.heartbeat())
  }
}

export class OrderingFleet {
  readonly clock = VirtualClock.create()
  readonly random: SeededRandom
  readonly engines: FakeEngines
  readonly store: FakeFenceLog
  readonly instances: Instance[]
  /** Machines that have ever run an instance. */
  machines = 0
  /** Entries of engines that started again. */
  private readonly restarts = new Map<string, { readonly startedAt: number, readonly version: number, readonly offset: number }>()
  private newestVersion = 1
  /** Offset of the next entry of the list. */
  private offset = 1000
  /** How long prompts wait at each engine, milliseconds; may change during a test. */
  waitMs = 0
  /** Share of the datagrams that are lost; may change during a test. */
  lostShare = USUAL_LOST_SHARE

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

  /** Operators name a version; every instance learns it after a short random delay. */
  name (version: number): void {
    this.newestVersion = version
    this.instances.forEach(({ clock, rollout }) => clock.at(clock.now() + this.random.below(HEARTBEAT_MS / 10), () => rollout.addVersion(MODEL, version)))
  }

  /** Restarts an engine under its id; each instance reads this in the list after a while. */
  restart (id: string): void {
    const { startedAt, version } = this.engines.restart(id)
    const offset = this.offset++
    this.restarts.set(id, { startedAt, version, offset })
    this.instances.forEach(instance => instance.clock.at(this.clock.now() + this.random.below(MAX_LISTING_DELAY_MS), () => instance.list(id, startedAt, version, offset)))
  }

  /** A machine is gone for good, and another one takes its place under its name after a while. */
  replace (index: number, afterMs: number): void {
    const former = this.instances[index]
    former?.end()
    this.clock.at(this.clock.now() + afterMs, () => {
      const instance = new Instance(this, former?.name ?? '')
      this.instances[index] = instance
      this.restarts.forEach(({ startedAt, version, offset }, id) => instance.list(id, startedAt, version, offset))
      instance.rollout.addVersion(MODEL, this.newestVersion)
    })
  }

  /** Sends datagrams to all other instances; some are lost. */
  send (from: Instance, lease: LeaseUpdate | undefined, updates: readonly WeightsUpdate[] = []): void {
    for (const other of this.instances.filter(instance => instance !== from && !instance.isPartitioned && !from.isPartitioned)) {
      if (this.random.next() >= this.lostShare) {
        other.clock.at(this.clock.now() + DATAGRAM_MS, () => other.receive(lease, updates))
      }
    }
  }

  /** Names of the other instances that reach the store. */
  proxiesFor (instance: Instance): string[] {
    return this.instances.filter(other => other !== instance && !other.storeConditions.isDown).map(({ name }) => name)
  }

  /** The store through another instance; unreachable if either of the two is partitioned. */
  logThrough (from: Instance, name: string): FenceLog {
    const other = this.instances.find(instance => instance.name === name) ?? from
    const isDown = from.isPartitioned || other.isPartitioned
    return isDown ? this.store.through({ lostShare: 0, isDown }) : other.storeLog
  }

  rankOf (instance: Instance): number {
    const last = instance.lease.lastHolder
    const order = [...this.instances].sort((a, b) => Number(b.holder === last) - Number(a.holder === last) || hashNumber(a.holder) - hashNumber(b.holder))
    return instance.storeConditions.isDown ? this.instances.length : order.indexOf(instance)
  }
}
