/**
 * A complete deployment in one process, on loopback: stand-ins for the platform,
 * engines and plain services, and several entry instances in front of them.
 */
import type { FastifyInstance } from 'fastify'
import {
  AdministrativeState, ListedKind, ListedState, RecordKind, SeededRandom, ServerKind, SystemClock,
  type BackendServer, type ListedInstance, type PlacementPolicy, type Preset
} from 'foxtaillever-core'
import { Permission } from 'foxtaillever-fleet'
import { digestKey, EntryInstance, Logs, type EntryAddresses, type InstanceLimits } from 'foxtaillever-router'
import {
  createEngineServer, createInstanceListServer, createLogServer, createPlainServer,
  EngineModel, InstanceListModel, KeptCacheStoreModel, LogModel, WeightStoreModel, type PlainServer
} from 'foxtaillever-standins'
import { createFirstChanges } from './createFirstChanges.js'
import { instanceLimits } from './instanceLimits.js'
import type { Shape } from './shape.js'

export { keyOf } from './keyOf.js'

const HOST = '127.0.0.1'
const LIST_LAG_MS = 1000
const LOG_RETENTION_MS = 86_400_000
const LOG_APPENDS_PER_SECOND = 300

/** Used by this deployment only, which listens on loopback. */
const MEMBER_KEYS = [{ id: 'embedded', secret: 'a key of the embedded deployment', permissions: [Permission.Join, Permission.Publish, Permission.Order] }]

export const OPERATOR = 'operator'
export const OPERATOR_TOKEN = 'token-of-the-embedded-operator'
const KEPT_CACHE_TOKENS = 4_000_000

/** Callers from which engines accept orders; half of the engines check it. */
const TRUSTED_CALLERS = ['foxtaillever']

export interface DeploymentOptions {
  readonly shape: Shape
  readonly placement?: PlacementPolicy
  /** Overrides of the preset for ordinary days. */
  readonly preset?: Partial<Preset>
  readonly seed: number
  /** Overrides of the limits of entry instances. */
  readonly limits?: Partial<InstanceLimits>
}

/** Every second engine checks fencing numbers and callers of orders; the others ignore both. */
function hasStrictChecks (index: number): boolean {
  return index % 2 === 0
}

export class EmbeddedDeployment {
  private readonly clock = SystemClock.create()
  private readonly servers: FastifyInstance[] = []
  readonly log = LogModel.create({ retentionMs: LOG_RETENTION_MS, appendsPerSecond: LOG_APPENDS_PER_SECOND }, this.clock)
  readonly list = InstanceListModel.create(LIST_LAG_MS, this.clock)
  readonly weightStore = WeightStoreModel.create(this.clock)
  readonly keptCacheStore = KeptCacheStoreModel.create(KEPT_CACHE_TOKENS)
  readonly engines = new Map<string, EngineModel>()
  readonly plains: PlainServer[] = []
  readonly instances: EntryInstance[] = []
  readonly entries: EntryAddresses[] = []
  /** Callers' addresses of the entry instances, as URLs. */
  readonly addresses: string[] = []

  private constructor (readonly options: DeploymentOptions) {}

  static async start (options: DeploymentOptions): Promise<EmbeddedDeployment> {
    const deployment = new EmbeddedDeployment(options)
    await deployment.startAll()
    return deployment
  }

  private async startAll (): Promise<void> {
    const logAddress = await this.listen(createLogServer(this.log, this.clock))
    const listAddress = await this.listen(createInstanceListServer(this.list))
    const workers = await Promise.all(this.createNames('worker', this.options.shape.workers).map(async (name, index) => await this.startEngine(name, index)))
    const plains = await Promise.all(this.createNames('plain', this.options.shape.plainWorkers).map(async (name, index) => await this.startPlain(name, index)))
    this.publish([...workers, ...plains])
    for (const [index, name] of this.createNames('entry', this.options.shape.instances).entries()) {
      await this.startInstance(name, index, logAddress, listAddress)
    }
    await this.waitUntilReady()
  }

  private createNames (kind: string, count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${kind}-${index + 1}`)
  }

  private failureDomainOf (index: number): string {
    const { failureDomains } = this.options.shape
    return failureDomains[index % failureDomains.length] ?? ''
  }

  private async listen (server: FastifyInstance): Promise<string> {
    this.servers.push(server)
    const url = await server.listen({ host: HOST, port: 0 })
    return url.replace('http://', '')
  }

  private async startEngine (name: string, index: number): Promise<BackendServer> {
    const { shape } = this.options
    const model = EngineModel.create({
      name,
      models: [shape.model],
      weightsVersion: 'v1',
      slots: shape.slots,
      prefillTokensPerSecond: shape.prefillTokensPerSecond,
      decodeTokensPerSecond: shape.decodeTokensPerSecond,
      cacheTokens: shape.cacheTokens,
      cacheKeptMs: shape.cacheKeptMs,
      eventLagMs: shape.reportLagMs,
      loadLagMs: shape.reportLagMs,
      checksFencing: hasStrictChecks(index),
      ...(hasStrictChecks(index) ? { trustedCallers: TRUSTED_CALLERS } : {})
    }, this.clock, {
      random: SeededRandom.create(this.options.seed + index),
      weightStore: this.weightStore,
      keptCacheStore: this.keptCacheStore
    })
    this.engines.set(name, model)
    const address = await this.listen(createEngineServer(model))
    this.addToInstanceList({ name, kind: ListedKind.BackendServer, address, failureDomain: this.failureDomainOf(index), state: ListedState.Live })
    return this.describeServer(name, ServerKind.Language, address, index, [shape.model])
  }

  private async startPlain (name: string, index: number): Promise<BackendServer> {
    const plain = createPlainServer()
    this.plains.push(plain)
    const address = await this.listen(plain.server)
    this.addToInstanceList({ name, kind: ListedKind.BackendServer, address, failureDomain: this.failureDomainOf(index), state: ListedState.Live })
    return this.describeServer(name, ServerKind.Plain, address, index, [])
  }

  private addToInstanceList (instance: ListedInstance): void {
    this.list.setInstance(instance)
  }

  private describeServer (name: string, kind: ServerKind, address: string, index: number, models: readonly string[]): BackendServer {
    const { shape } = this.options
    return {
      name,
      kind,
      address,
      failureDomain: this.failureDomainOf(index),
      models,
      slots: shape.slots,
      prefillTokensPerSecond: shape.prefillTokensPerSecond,
      decodeTokensPerSecond: shape.decodeTokensPerSecond,
      cacheTokens: shape.cacheTokens,
      checksFencing: hasStrictChecks(index),
      checksCaller: hasStrictChecks(index),
      state: AdministrativeState.InService
    }
  }

  private publish (servers: readonly BackendServer[]): void {
    const { shape, placement, preset } = this.options
    const changes = createFirstChanges(shape, { ...(placement === undefined ? {} : { placement }), ...preset }, servers)
    this.log.append({ id: 'first-configuration', kind: RecordKind.Configuration, writtenAt: this.clock.now(), body: { base: 0, author: 'deployment', changes } })
  }

  private async startInstance (name: string, index: number, logAddress: string, listAddress: string): Promise<void> {
    const instance = EntryInstance.create({
      name,
      failureDomain: this.failureDomainOf(index),
      listen: { host: HOST, port: 0 },
      control: { host: HOST, port: 0 },
      gossip: { host: HOST, port: 0 },
      seeds: this.entries.map(entry => entry.gossip),
      keys: MEMBER_KEYS,
      operators: [{ name: OPERATOR, tokenDigests: [digestKey(OPERATOR_TOKEN)] }],
      logAddress,
      listAddress,
      distancesMs: {},
      limits: { ...instanceLimits, ...this.options.limits },
      logs: Logs.create({ instance: name, level: 'error', clock: this.clock }),
      seed: this.options.seed + index,
      logRetentionMs: LOG_RETENTION_MS,
      claimKeptMs: LOG_RETENTION_MS / 2
    })
    this.instances.push(instance)
    const entry = await instance.start()
    this.entries.push(entry)
    this.addresses.push(entry.callers)
  }

  /** Control addresses of the entry instances, in the form that the command line expects. */
  controlAddresses (): readonly string[] {
    return this.entries.map(entry => entry.control)
  }

  private async waitUntilReady (): Promise<void> {
    for (const address of this.addresses) {
      while ((await fetch(`${address}/readyz`)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, 20))
      }
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.instances.map(async instance => await instance.stop()))
    await Promise.all(this.servers.map(async server => await server.close()))
  }
}
