/** Real entry processes on loopback against stand-ins of the users' platform. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { SystemClock } from 'foxtaillever-core'
import { Caller } from 'foxtaillever-platform/__fixtures__/caller'
import { freePort, nextHost } from 'foxtaillever-platform/__fixtures__/loopback'
import { ENGINES, MODEL, PLAIN, ZONES } from 'foxtaillever-platform/__fixtures__/relayFleet'
import { waitFor } from 'foxtaillever-platform/__fixtures__/waitFor'
import { PlatformDeployment, type InstanceLinks, type PlainShape, type StoreServer } from 'foxtaillever-standins'
import { Child } from '../soak/child.js'
import { LINKS_HOST, SERVERS_HOST } from './linkHosts.js'
import { addLongEngines } from './longStreams.js'
import { RequestLines } from './requestLines.js'
import { SoakOperator } from './soakOperator.js'

/** Time bounds of the settings, so short that a soak of seconds reaches them. */
export const SHORT_BOUNDS = { retry_budget_ratio: 0.2, retry_budget_slack: 50, budget_window_s: 10, grace_s: 8, lease_ms: 500, version_ms: 8000, loss_slack_ms: 200 }

/** Preloaded by the instances, so that their connections to servers use their own links. */
const LINKS_MODULE = new URL('connectThroughLinks.js', import.meta.url).href

const HEARTBEAT_MS = 300

/** Limits of the memory of an instance, as it runs on machines of 178 MB. */
const MEMORY_FLAGS = ['--max-old-space-size=96', '--max-semi-space-size=2']

/** About half used by the load, so that a server that lets no request wait has to reject some. */
const PLAIN_SHAPE: PlainShape = { workMs: 100, slots: 2, maxWaiting: 4 }

export interface SoakInstance {
  readonly child: Child
  readonly address: string
  readonly readyAddress: string
  readonly storeServer: StoreServer
  /** Its links to the servers. */
  readonly links: InstanceLinks
  /** What it logged about requests. */
  readonly lines: RequestLines
}

export interface SoakFleetOptions {
  /** Whether each engine of long streams has a software version of its own. */
  readonly hasOwnVersions?: boolean
  /** Whether processes reach the servers over links, which can have faults and cost processor time. */
  readonly hasLinks?: boolean
  readonly instancesPerZone?: number
  /** Whether servers state when they started. */
  readonly statesStarts?: boolean
}

export class SoakFleet {
  readonly clock = SystemClock.create()
  readonly caller = Caller.create()
  private readonly serversHost = nextHost()
  readonly platform: PlatformDeployment
  readonly operator: SoakOperator
  readonly instances: SoakInstance[] = []
  private readonly folder = mkdtempSync(join(tmpdir(), 'foxtaillever-soak-'))
  private peerPort = 0
  private probes = 0

  private constructor (private readonly entry: string, private readonly hasLinks: boolean, statesStarts: boolean) {
    this.platform = PlatformDeployment.create({ clock: this.clock, host: this.serversHost, heartbeatMs: HEARTBEAT_MS, hasLinks, statesStarts })
    this.operator = SoakOperator.create(this.clock, this.platform)
  }

  /** @param entry the program to run. */
  static async start (entry: string, { hasOwnVersions = false, hasLinks = true, instancesPerZone = 1, statesStarts = true }: SoakFleetOptions = {}): Promise<SoakFleet> {
    const fleet = new SoakFleet(entry, hasLinks, statesStarts)
    fleet.operator.start()
    for (const zone of ZONES) {
      await fleet.platform.addEngine(`engine-${zone}`, ENGINES, zone, { [MODEL]: 1 })
      await fleet.platform.addPlain(`plain-${zone}`, PLAIN, zone, PLAIN_SHAPE)
    }
    await addLongEngines(fleet.platform, hasOwnVersions)
    fleet.peerPort = await freePort(nextHost())
    for (const zone of Array.from({ length: instancesPerZone }, () => ZONES).flat()) {
      await fleet.addInstance(zone)
    }
    await fleet.waitUntilServing()
    return fleet
  }

  /** Waits until every instance answers requests. */
  async waitUntilServing (): Promise<void> {
    for (const { address } of this.instances) {
      await waitFor(`${address} serves`, async () => (await this.caller.send({ address, id: `probe-${this.probes++}`, path: '/repeatable/x', key: 'key-acme', method: 'GET' })).status === 200)
    }
  }

  /** Waits until every instance applies the newest configuration, whatever faults the store had. */
  async waitUntilConfigured (): Promise<void> {
    const key = this.operator.temporaryKeys.at(-1)?.key ?? ''
    for (const { address } of this.instances) {
      await waitFor(`${address} has the newest configuration`, async () => (await this.caller.send({ address, id: `probe-${this.probes++}`, path: '/repeatable/x', key, method: 'GET' })).status === 200)
    }
  }

  /** Waits until every engine is idle and, unless it is leaving, has the newest weights. */
  async waitUntilSettled (): Promise<void> {
    await waitFor('engines have the newest weights and nothing to do', () => this.unsettledEngines().length === 0).catch((error: Error) => {
      throw new Error(`${error.message} ${JSON.stringify(this.unsettledEngines())}`)
    })
  }

  /** Engines that run requests or lack the newest weights; a leaving engine gets no orders. */
  private unsettledEngines (): object[] {
    return this.platform.listedEngines()
      .map(({ server: { id, isLeaving }, runner: { engine, orders } }) => ({ id, isLeaving, weights: orders.versions.get(MODEL), wanted: this.operator.weights, active: engine.active, queued: engine.queued }))
      .filter(({ isLeaving, weights, wanted, active, queued }) => (!isLeaving && weights !== wanted) || active + queued > 0)
  }

  private async addInstance (zone: string): Promise<void> {
    const ip = nextHost()
    const { storeServer, address: store, links } = await this.platform.openStore(this.hasLinks ? nextHost() : undefined)
    const [front, ready] = [`${ip}:${await freePort(ip)}`, `${ip}:${await freePort(ip)}`]
    const name = `instance-${this.instances.length + 1}`
    const path = join(this.folder, `${name}.json`)
    writeFileSync(path, JSON.stringify({ node: name, zone, ip, listen: { front, ready }, internal_ports: [this.peerPort, this.peerPort], seeds: [], heartbeat_ms: HEARTBEAT_MS, bounds: SHORT_BOUNDS, platform: { address: store } }))
    const lines = RequestLines.create()
    const child = Child.create({ name, arguments: [...MEMORY_FLAGS, '--import', LINKS_MODULE, this.entry], environment: { FOXTAILLEVER_BOOT: path, [SERVERS_HOST]: this.serversHost, [LINKS_HOST]: links.host }, onLine: line => lines.add(line) })
    this.instances.push({ child, address: front, readyAddress: ready, storeServer, links, lines })
    child.start()
  }

  async close (): Promise<void> {
    this.caller.close()
    await Promise.all(this.instances.map(async ({ child }) => await child.kill()))
    this.platform.close()
    rmSync(this.folder, { recursive: true })
  }
}
