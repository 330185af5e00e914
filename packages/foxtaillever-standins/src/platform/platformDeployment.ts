/**
 * The users' platform around instances, on loopback and in one process: the
 * store, servers that register and leave there, and operators who write to it.
 */
import { waitUntil, type Cancellation, type Clock } from 'foxtaillever-core'
import { BackendServer, createPlainRunner, type Runner } from './engines/backendServer.js'
import { EngineRunner } from './engines/engineRunner.js'
import { PartCache } from './engines/partCache.js'
import type { PartUse } from './engines/tokenEngine.js'
import type { TakenOrder } from './engines/weightOrders.js'
import { Link } from './link.js'
import { OPERATORS_TOPIC, SERVERS_TOPIC, StoreModel, type StoreCopy } from './store/storeModel.js'
import { StoreServer } from './store/storeServer.js'

/** Small against a real engine, so that runs are short. */
const ENGINE = { slots: 8, mostWaiting: 8, memoryTokens: 40_000, stepMs: 4, readTokensPerMs: 110, pieceTokens: 4096 }

/** A server is removed after so many intervals without a heartbeat. */
const SILENT_HEARTBEATS = 3

const RESTART_MS = 400
const LOAD_MS = 40
const PLAIN_WORK_MS = 10
const EVENT_CALLS = 16

interface Registered {
  readonly server: BackendServer
  readonly runner: Runner
  readonly service: string
  readonly zone: string
  /** Where others reach it. */
  address: string
  isBeating: boolean
}

/** How the store is restored. */
export interface Restoration {
  readonly copy: StoreCopy
  /** No call gets through for so long, milliseconds. */
  readonly awayMs: number
  /** What was lost is written again so long after the store is back, milliseconds. */
  readonly rewrittenMs: number
  /** Carried out on the restored store before any call gets through. */
  readonly beforeCalls?: () => void
}

export interface PlatformDeploymentOptions {
  readonly clock: Clock
  /** Loopback address of everything. */
  readonly host: string
  readonly heartbeatMs: number
  /** Servers are reached over links that can be disturbed. */
  readonly hasLinks?: boolean
}

export class PlatformDeployment {
  readonly store: StoreModel
  readonly servers: BackendServer[] = []
  readonly links: Link[] = []
  private readonly cacheStores = new Map<string, PartCache>()
  private readonly registered: Registered[] = []
  private readonly doors: StoreServer[] = []
  private readonly named = new Map<string, number>()
  /** The newest that operators wrote, by key. */
  private readonly written = new Map<string, object>()
  private cancelBeat: Cancellation = () => {}
  private beats = 0

  private constructor (private readonly options: PlatformDeploymentOptions) {
    this.store = StoreModel.create(options.clock)
    this.beat()
  }

  static create (options: PlatformDeploymentOptions): PlatformDeployment {
    return new PlatformDeployment(options)
  }

  /** Another way to the store, with faults of its own. */
  async openStore (): Promise<{ readonly door: StoreServer, readonly address: string }> {
    const door = StoreServer.create(this.store, this.options.clock)
    this.doors.push(door)
    return { door, address: await door.listen(this.options.host) }
  }

  async addEngine (name: string, service: string, zone: string, models: Readonly<Record<string, number>>): Promise<{ readonly server: BackendServer, readonly runner: EngineRunner }> {
    const runner = EngineRunner.create({
      clock: this.options.clock,
      engine: ENGINE,
      mostEventCalls: EVENT_CALLS,
      loadMs: LOAD_MS,
      isNamed: (model, version) => version <= (this.named.get(model) ?? 0),
      onLoaded: () => this.beatAll(),
      cacheAt: address => this.cacheAt(address)
    })
    Object.entries(models).forEach(([model, version]) => runner.orders.versions.set(model, version))
    return { server: await this.add(name, service, zone, runner), runner }
  }

  async addPlain (name: string, service: string, zone: string): Promise<BackendServer> {
    return await this.add(name, service, zone, createPlainRunner(this.options.clock, PLAIN_WORK_MS))
  }

  /** A store of cached parts; no call reaches it, since engines alone use it. */
  addCacheStore (address: string, mostTokens: number): void {
    this.cacheStores.set(address, PartCache.create(mostTokens))
  }

  /** The store restarts without anything in it. */
  clearCacheStore (address: string): void {
    this.cacheStores.get(address)?.shrink(0)
  }

  /** Cached parts that runs of all engines built on. */
  partUses (): PartUse[] {
    return this.registered.flatMap(({ runner }) => runner instanceof EngineRunner ? runner.engine.uses : [])
  }

  /** Orders that engines took, of all their lives. */
  takenOrders (): TakenOrder[] {
    return this.registered.flatMap(({ runner }) => runner instanceof EngineRunner ? runner.orders.taken : [])
  }

  /** The engines that others may find in the store. */
  engines (): EngineRunner[] {
    return this.listedEngines().map(({ runner }) => runner)
  }

  /** The same with their servers. */
  listedEngines (): Array<{ readonly server: BackendServer, readonly runner: EngineRunner }> {
    return this.registered.flatMap(({ server, runner, isBeating }) => isBeating && runner instanceof EngineRunner ? [{ server, runner }] : [])
  }

  configure (configuration: object): void {
    this.writeAsOperator('config', configuration)
  }

  nameWeights (model: string, version: number): void {
    this.named.set(model, version)
    this.writeAsOperator(`version/${model}`, { model, version })
  }

  /** The store is away and comes back from an older copy; operators and servers then write again what they wrote. */
  async restoreStore ({ copy, awayMs, rewrittenMs, beforeCalls = () => {} }: Restoration): Promise<void> {
    const { clock } = this.options
    this.store.isAway = true
    this.doors.forEach(door => door.disconnect())
    await waitUntil(clock, clock.now() + awayMs)
    this.store.restore(copy)
    beforeCalls()
    this.store.isAway = false
    await waitUntil(clock, clock.now() + rewrittenMs)
    this.writeAgain()
  }

  /** The server says that it leaves, and goes on serving what it has. */
  drain (server: BackendServer): void {
    server.isLeaving = true
    this.beatAll()
  }

  /** The server has left. */
  remove (server: BackendServer): void {
    this.registered.filter(entry => entry.server === server).forEach(entry => { entry.isBeating = false })
    this.store.put(SERVERS_TOPIC, server.id, undefined)
  }

  /** Another writer than a server puts something into the list. */
  writeForeign (key: string, value: Buffer): void {
    this.store.putBytes(SERVERS_TOPIC, key, value)
  }

  close (): void {
    this.cancelBeat()
    this.doors.forEach(door => door.close())
    this.links.forEach(link => link.close())
    this.servers.forEach(server => server.close())
  }

  private writeAsOperator (key: string, value: object): void {
    this.written.set(key, value)
    this.store.put(OPERATORS_TOPIC, key, value)
  }

  private writeAgain (): void {
    const { newest } = this.store.partition(OPERATORS_TOPIC)
    this.written.forEach((value, key) => {
      if (newest.get(key)?.value.toString() !== JSON.stringify(value)) {
        this.store.put(OPERATORS_TOPIC, key, value)
      }
    })
    this.registered.filter(({ isBeating }) => !isBeating).forEach(({ server }) => this.store.put(SERVERS_TOPIC, server.id, undefined))
    this.beatAll()
  }

  private cacheAt (address: string): PartCache | undefined {
    const engine = this.registered.find(entry => entry.isBeating && entry.address === address)?.runner
    return this.cacheStores.get(address) ?? (engine instanceof EngineRunner ? engine.engine.cache : undefined)
  }

  private async add (name: string, service: string, zone: string, runner: Runner): Promise<BackendServer> {
    const { clock, host, heartbeatMs } = this.options
    const server = BackendServer.create({
      name,
      clock,
      restartMs: RESTART_MS,
      onCrashed: ({ id }) => {
        entry.isBeating = false
        clock.at(clock.now() + SILENT_HEARTBEATS * heartbeatMs, () => this.expire(entry, id))
      },
      onStarted: () => {
        if (entry.address !== '') {
          entry.isBeating = true
          this.write(entry)
        }
      }
    }, runner)
    const entry: Registered = { server, runner, service, zone, address: '', isBeating: false }
    this.servers.push(server)
    await server.listen(host)
    entry.address = await this.reach(server.address)
    entry.isBeating = true
    this.registered.push(entry)
    this.write(entry)
    return server
  }

  /** A server that is back under its id keeps the entry. */
  private expire ({ isBeating, server }: Registered, id: string): void {
    if (!isBeating || server.id !== id) {
      this.store.put(SERVERS_TOPIC, id, undefined)
    }
  }

  private async reach (address: string): Promise<string> {
    if (this.options.hasLinks !== true) {
      return address
    }
    const link = Link.create(address)
    this.links.push(link)
    return await link.listen(this.options.host)
  }

  private beat (): void {
    const { clock, heartbeatMs } = this.options
    this.beatAll()
    this.cancelBeat = clock.at(clock.now() + heartbeatMs, () => this.beat())
  }

  private beatAll (): void {
    this.registered.filter(({ isBeating }) => isBeating).forEach(entry => this.write(entry))
  }

  private write ({ server, runner, service, zone, address }: Registered): void {
    this.beats += 1
    this.store.put(SERVERS_TOPIC, server.id, {
      service,
      address,
      zone,
      version: 'v1',
      slots: ENGINE.slots,
      state: server.isLeaving ? 'draining' : 'ready',
      cold_left_ms: 0,
      stage: 'both',
      models: runner instanceof EngineRunner ? runner.models() : [],
      seq: this.beats,
      born: server.startedAt
    })
  }
}
