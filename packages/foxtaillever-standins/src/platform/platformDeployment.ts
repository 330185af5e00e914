/**
 * Stand-in of the users' platform on loopback and in one process: the store,
 * servers that register in the store and leave it, and operators that write to it.
 */
import { waitUntil, type Cancellation, type Clock } from 'foxtaillever-core'
import { FIRST_SOFTWARE_VERSION } from './engines/answerWriter.js'
import { BackendServer, type LevelFault, type Runner } from './engines/backendServer.js'
import { EngineRunner } from './engines/engineRunner.js'
import { createPlainRunner, type PlainShape } from './engines/plainRunner.js'
import { PartCache } from './engines/partCache.js'
import type { PartUse, TokenEngineOptions } from './engines/tokenEngine.js'
import type { AcceptedOrder } from './engines/weightOrders.js'
import { InstanceLinks } from './instanceLinks.js'
import { Link, LinkCut } from './link.js'
import { OPERATORS_TOPIC, SERVERS_TOPIC, StoreModel, type StoreCopy } from './store/storeModel.js'
import { StoreServer } from './store/storeServer.js'

/** Smaller than a real engine, so that runs are short. */
const ENGINE: TokenEngineOptions = { slots: 8, maxWaiting: 8, memoryTokens: 40_000, stepMs: 4, prefillTokensPerMs: 110, chunkTokens: 4096 }

/** A server is removed after this many heartbeat intervals without a heartbeat. */
const MISSED_HEARTBEATS = 3

const RESTART_MS = 400
const LOAD_MS = 40
/** Runs any number of requests at the same time. */
const PLAIN: PlainShape = { workMs: 10, slots: Infinity, maxWaiting: 0 }
const EVENT_CALLS = 16

interface RegisteredServer {
  readonly server: BackendServer
  readonly runner: Runner
  readonly service: string
  readonly zone: string
  readonly slots: number
  /** Address at which other processes reach it; over a link if there is one. */
  address: string
  sendsHeartbeats: boolean
}

/** How to restore the store. */
export interface Restoration {
  readonly copy: StoreCopy
  /** Time during which no call reaches the store, milliseconds. */
  readonly outageMs: number
  /** Time from the restore until lost values are written again, milliseconds. */
  readonly rewriteDelayMs: number
  /** Called on the restored store before any call reaches it. */
  readonly beforeCalls?: () => void
}

export interface PlatformDeploymentOptions {
  readonly clock: Clock
  /** Loopback address of all servers. */
  readonly host: string
  readonly heartbeatMs: number
  /** Whether servers are reached over links, which can have faults. */
  readonly hasLinks?: boolean
  /** Time from a server's crash to its restart, milliseconds. */
  readonly restartMs?: number
  /** Whether servers state when they started, in their entries and reports. */
  readonly statesStarts?: boolean
}

export class PlatformDeployment {
  readonly store: StoreModel
  readonly servers: BackendServer[] = []
  readonly links: Link[] = []
  private readonly instanceLinks: InstanceLinks[] = []
  private readonly cacheStores = new Map<string, PartCache>()
  private readonly registered: RegisteredServer[] = []
  private readonly storeServers: StoreServer[] = []
  /** Prompt levels that crash the servers, which share this table. */
  readonly crashingLevels = new Map<string, LevelFault>()
  private readonly namedVersions = new Map<string, number>()
  /** Newest values that operators wrote, by key. */
  private readonly operatorValues = new Map<string, object>()
  private cancelHeartbeat: Cancellation = () => {}
  private entrySequence = 0

  private constructor (private readonly options: PlatformDeploymentOptions) {
    this.store = StoreModel.create(options.clock)
    this.scheduleHeartbeats()
  }

  static create (options: PlatformDeploymentOptions): PlatformDeployment {
    return new PlatformDeployment(options)
  }

  /**
   * Opens another address of the store, with its own faults.
   * @param linksHost loopback address of links to the servers that only its readers use; undefined for none.
   */
  async openStore (linksHost?: string): Promise<{ readonly storeServer: StoreServer, readonly address: string, readonly links: InstanceLinks }> {
    const links = InstanceLinks.create(linksHost ?? this.options.host)
    if (linksHost !== undefined) {
      this.instanceLinks.push(links)
      await Promise.all(this.registered.map(async ({ address }) => await links.add(address)))
    }
    const storeServer = StoreServer.create(this.store, this.options.clock)
    this.storeServers.push(storeServer)
    return { storeServer, address: await storeServer.listen(links.host), links }
  }

  async addEngine (name: string, service: string, zone: string, models: Readonly<Record<string, number>>, shape: Partial<TokenEngineOptions> = {}, softwareVersion = FIRST_SOFTWARE_VERSION): Promise<{ readonly server: BackendServer, readonly runner: EngineRunner }> {
    const runner = EngineRunner.create({
      clock: this.options.clock,
      engine: { ...ENGINE, ...shape },
      maxEventCalls: EVENT_CALLS,
      loadMs: LOAD_MS,
      isNamed: (model, version) => version <= (this.namedVersions.get(model) ?? 0),
      onLoaded: () => this.writeEntries(),
      cacheAt: address => this.cacheAt(address)
    })
    Object.entries(models).forEach(([model, version]) => runner.orders.versions.set(model, version))
    return { server: await this.add(name, service, zone, runner, shape.slots ?? ENGINE.slots, softwareVersion), runner }
  }

  async addPlain (name: string, service: string, zone: string, shape = PLAIN): Promise<BackendServer> {
    return await this.add(name, service, zone, createPlainRunner(this.options.clock, shape), Math.min(shape.slots, ENGINE.slots))
  }

  /** Adds a store of cached parts. It has no server, since only the engines use it. */
  addCacheStore (address: string, maxTokens: number): void {
    this.cacheStores.set(address, PartCache.create(maxTokens))
  }

  /** Restarts a cache store empty. */
  clearCacheStore (address: string): void {
    this.cacheStores.get(address)?.shrink(0)
  }

  /** Cached parts that runs of all engines used. */
  partUses (): PartUse[] {
    return this.registered.flatMap(({ runner }) => runner instanceof EngineRunner ? runner.engine.uses : [])
  }

  /** Orders that engines accepted, in all their incarnations. */
  acceptedOrders (): AcceptedOrder[] {
    return this.registered.flatMap(({ runner }) => runner instanceof EngineRunner ? runner.orders.accepted : [])
  }

  /** Engines that are listed in the store. */
  engines (): EngineRunner[] {
    return this.listedEngines().map(({ runner }) => runner)
  }

  /** Listed engines with their servers. */
  listedEngines (): Array<{ readonly server: BackendServer, readonly runner: EngineRunner }> {
    return this.registered.flatMap(({ server, runner, sendsHeartbeats }) => sendsHeartbeats && runner instanceof EngineRunner ? [{ server, runner }] : [])
  }

  configure (configuration: object): void {
    this.writeAsOperator('config', configuration)
  }

  nameWeights (model: string, version: number): void {
    this.namedVersions.set(model, version)
    this.writeAsOperator(`version/${model}`, { model, version })
  }

  /** Makes the store unreachable and restores it from an older copy; operators and servers then write lost values again. */
  async restoreStore ({ copy, outageMs, rewriteDelayMs, beforeCalls = () => {} }: Restoration): Promise<void> {
    const { clock } = this.options
    this.store.isUnreachable = true
    this.storeServers.forEach(storeServer => storeServer.disconnect())
    await waitUntil(clock, clock.now() + outageMs)
    this.store.restore(copy)
    beforeCalls()
    this.store.isUnreachable = false
    await waitUntil(clock, clock.now() + rewriteDelayMs)
    this.rewriteLostValues()
  }

  /** Makes the server state that it leaves; it keeps serving its requests. */
  drain (server: BackendServer): void {
    server.isLeaving = true
    this.writeEntries()
  }

  /**
   * Makes servers silent to all instances that have links of their own: they send nothing for a while and
   * go on with what they have.
   */
  async silence (servers: readonly BackendServer[], ms: number): Promise<void> {
    const { clock } = this.options
    const targets = this.registered.filter(({ server }) => servers.includes(server)).map(({ address }) => address)
    this.instanceLinks.forEach(links => links.cut(LinkCut.Hang, targets))
    await waitUntil(clock, clock.now() + ms)
    this.instanceLinks.forEach(links => links.repair(targets))
  }

  /** Removes the entry of a server that has left. */
  remove (server: BackendServer): void {
    this.registered.filter(entry => entry.server === server).forEach(entry => { entry.sendsHeartbeats = false })
    this.store.put(SERVERS_TOPIC, server.id, undefined)
  }

  /** Writes an entry into the list of servers as another writer than a server. */
  writeForeign (key: string, value: Buffer): void {
    this.store.putBytes(SERVERS_TOPIC, key, value)
  }

  close (): void {
    this.cancelHeartbeat()
    this.storeServers.forEach(storeServer => storeServer.close())
    this.links.forEach(link => link.close())
    this.instanceLinks.forEach(links => links.close())
    this.servers.forEach(server => server.close())
  }

  private writeAsOperator (key: string, value: object): void {
    this.operatorValues.set(key, value)
    this.store.put(OPERATORS_TOPIC, key, value)
  }

  private rewriteLostValues (): void {
    const { newest } = this.store.partition(OPERATORS_TOPIC)
    this.operatorValues.forEach((value, key) => {
      if (newest.get(key)?.value.toString() !== JSON.stringify(value)) {
        this.store.put(OPERATORS_TOPIC, key, value)
      }
    })
    this.registered.filter(({ sendsHeartbeats }) => !sendsHeartbeats).forEach(({ server }) => this.store.put(SERVERS_TOPIC, server.id, undefined))
    this.writeEntries()
  }

  private cacheAt (address: string): PartCache | undefined {
    const engine = this.registered.find(entry => entry.sendsHeartbeats && entry.address === address)?.runner
    return this.cacheStores.get(address) ?? (engine instanceof EngineRunner ? engine.engine.cache : undefined)
  }

  private async add (name: string, service: string, zone: string, runner: Runner, slots = ENGINE.slots, softwareVersion = FIRST_SOFTWARE_VERSION): Promise<BackendServer> {
    const { clock, host, heartbeatMs, restartMs = RESTART_MS, statesStarts = true } = this.options
    const server = BackendServer.create({
      name,
      clock,
      softwareVersion,
      restartMs,
      statesStart: statesStarts,
      onCrashed: ({ id }) => {
        entry.sendsHeartbeats = false
        setLinksUp(false)
        clock.at(clock.now() + MISSED_HEARTBEATS * heartbeatMs, () => this.expire(entry, id))
      },
      onStarted: () => {
        if (entry.address !== '') {
          setLinksUp(true)
          entry.sendsHeartbeats = true
          this.writeEntry(entry)
        }
      }
    }, runner)
    const setLinksUp = (isUp: boolean): void => {
      this.links.filter(link => link.target === server.address).forEach(link => link.setTargetUp(isUp))
      this.instanceLinks.forEach(links => links.setTargetUp(entry.address, isUp))
    }
    const entry: RegisteredServer = { server, runner, service, zone, slots, address: '', sendsHeartbeats: false }
    this.servers.push(server)
    server.crashingLevels = this.crashingLevels
    await server.listen(host)
    entry.address = await this.openLink(server.address)
    await Promise.all(this.instanceLinks.map(async links => await links.add(entry.address)))
    entry.sendsHeartbeats = true
    this.registered.push(entry)
    this.writeEntry(entry)
    return server
  }

  /** Removes the entry of a crashed server, unless the server restarted under the same id. */
  private expire ({ sendsHeartbeats, server }: RegisteredServer, id: string): void {
    if (!sendsHeartbeats || server.id !== id) {
      this.store.put(SERVERS_TOPIC, id, undefined)
    }
  }

  private async openLink (address: string): Promise<string> {
    if (this.options.hasLinks !== true) {
      return address
    }
    const link = Link.create(address)
    this.links.push(link)
    return await link.listen(this.options.host)
  }

  private scheduleHeartbeats (): void {
    const { clock, heartbeatMs } = this.options
    this.writeEntries()
    this.cancelHeartbeat = clock.at(clock.now() + heartbeatMs, () => this.scheduleHeartbeats())
  }

  private writeEntries (): void {
    this.registered.filter(({ sendsHeartbeats }) => sendsHeartbeats).forEach(entry => this.writeEntry(entry))
  }

  private writeEntry ({ server, runner, service, zone, slots, address }: RegisteredServer): void {
    this.entrySequence += 1
    this.store.put(SERVERS_TOPIC, server.id, {
      service,
      address,
      zone,
      version: server.softwareVersion,
      slots,
      state: server.isLeaving ? 'draining' : 'ready',
      cold_left_ms: 0,
      stage: 'both',
      models: runner instanceof EngineRunner ? runner.models() : [],
      seq: this.entrySequence,
      ...(server.options.statesStart === false ? {} : { born: server.startedAt })
    })
  }
}
