/**
 * The soak's processes on loopback: platform, engines, entry instances. The
 * operating system chooses each port once; a restarted process keeps its port,
 * so that its callers find it.
 */
import { createHash, randomBytes } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { AdministrativeState, ListedKind, ListedState, PriorityClass, RecordKind, ServerKind, waitUntil, SystemClock } from 'foxtaillever-core'
import { ChangeKind, type Change } from 'foxtaillever-fleet'
import { request } from 'undici'
import type { EngineRun } from '../world/engineHost.js'
import { Child } from './child.js'

export const ENTRIES = 3
export const ENGINES = 3

/** API keys by account. */
export const apiKeysByAccount: Readonly<Record<string, string>> = { cooperative: 'soak-key-cooperative', granja: 'soak-key-granja' }

const RETENTION_MS = 3_600_000
const READY_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 50

export interface ServedProcess {
  readonly child: Child
  readonly address: string
}

function digest (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

async function choosePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  await new Promise(resolve => server.close(resolve))
  return typeof address === 'object' && address !== null ? address.port : 0
}

function moduleOf (specifier: string): string {
  return fileURLToPath(new URL(specifier, import.meta.resolve('foxtaillever-standins')))
}

export interface SoakDeploymentOptions {
  /** Number of entry instances. */
  readonly entries?: number
  /** Options of the runtime for entry instances. */
  readonly entryFlags?: readonly string[]
  /** Limits of entry instances beside the usual ones. */
  readonly limits?: object
}

export class SoakDeployment {
  readonly entries: Array<ServedProcess & { readonly control: string }> = []
  readonly engines: ServedProcess[] = []
  log!: ServedProcess
  private list!: ServedProcess
  private folder = ''
  private readonly children: Child[] = []
  private readonly clock = SystemClock.create()

  private constructor (private readonly onRun: (run: EngineRun) => void, private readonly options: SoakDeploymentOptions) {}

  static async create (onRun: (run: EngineRun) => void, options: SoakDeploymentOptions = {}): Promise<SoakDeployment> {
    const deployment = new SoakDeployment(onRun, options)
    deployment.folder = await mkdtemp(join(tmpdir(), 'foxtaillever-soak-'))
    try {
      await deployment.start()
    } catch (error) {
      await deployment.close()
      throw error
    }
    return deployment
  }

  private async start (): Promise<void> {
    await this.startPlatform()
    await this.startEngines()
    await this.publishConfiguration()
    await this.startEntries()
  }

  private async startStandin (name: string, ...options: string[]): Promise<ServedProcess> {
    const port = await choosePort()
    const child = Child.create({ name, arguments: [moduleOf('./main.js'), name, '--port', String(port), ...options], environment: {}, onLine: () => {} })
    this.launch(child)
    return { child, address: `127.0.0.1:${port}` }
  }

  private launch (child: Child): void {
    this.children.push(child)
    child.start()
  }

  private async startPlatform (): Promise<void> {
    this.log = await this.startStandin('log', '--retention-ms', String(RETENTION_MS))
    this.list = await this.startStandin('instance-list')
    await this.waitFor(`http://${this.log.address}/log?from=1`)
    await this.waitFor(`http://${this.list.address}/instances`)
  }

  private async startEngines (): Promise<void> {
    for (let index = 0; index < ENGINES; index++) {
      const name = `engine-${index}`
      const port = await choosePort()
      const script = fileURLToPath(new URL('../soakEngine.js', import.meta.url))
      const child = Child.create({
        name,
        arguments: [script, name, String(port)],
        environment: {},
        onLine: line => line.startsWith('run ') && this.onRun(JSON.parse(line.slice('run '.length)) as EngineRun)
      })
      this.launch(child)
      this.engines.push({ child, address: `127.0.0.1:${port}` })
      await this.listEngine(index, ListedState.Live)
      await this.waitFor(`http://127.0.0.1:${port}/load`)
    }
  }

  async listEngine (index: number, state: ListedState): Promise<void> {
    const name = `engine-${index}`
    const body = JSON.stringify({ name, kind: ListedKind.BackendServer, address: this.engines[index]?.address ?? '', failureDomain: 'recife', state })
    await this.sendJson(this.list.address, 'PUT', '/instances', body)
  }

  private async publishConfiguration (): Promise<void> {
    const changes: Change[] = [
      ...Object.entries(apiKeysByAccount).map(([name, key]): Change => ({
        kind: ChangeKind.PutAccount,
        account: { name, keyDigests: [digest(key)], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 1_000_000, concurrentRequests: 1000 }
      })),
      { kind: ChangeKind.PutModel, model: { name: 'order-language', weightsVersion: 'v1', adapters: [] } },
      ...this.engines.map(({ address }, index): Change => ({
        kind: ChangeKind.PutServer,
        server: {
          name: `engine-${index}`,
          kind: ServerKind.Language,
          address,
          failureDomain: 'recife',
          models: ['order-language'],
          slots: 16,
          prefillTokensPerSecond: 20_000,
          decodeTokensPerSecond: 30,
          cacheTokens: 65_536,
          checksFencing: false,
          checksCaller: false,
          state: AdministrativeState.InService
        }
      }))
    ]
    const record = { id: 'soak-configuration', kind: RecordKind.Configuration, writtenAt: Date.now(), body: { base: 0, author: 'soak', changes } }
    await this.sendJson(this.log.address, 'POST', '/log', JSON.stringify(record))
  }

  private async startEntries (): Promise<void> {
    const ports = await Promise.all(Array.from({ length: this.options.entries ?? ENTRIES }, async () => [await choosePort(), await choosePort(), await choosePort()] as const))
    const memberKey = randomBytes(32).toString('hex')
    for (const [index, [listen, control, gossip]] of ports.entries()) {
      const file = join(this.folder, `entry-${index}.jsonc`)
      const peers = ports.map(([, , gossipPort]) => `127.0.0.1:${gossipPort}`).filter((_, peerIndex) => peerIndex !== index)
      await writeFile(file, JSON.stringify({
        name: `entry-${index}`,
        failureDomain: 'recife',
        listen: { host: '127.0.0.1', port: listen },
        control: { host: '127.0.0.1', port: control },
        gossip: { host: '127.0.0.1', port: gossip },
        peers,
        platform: { logAddress: this.log.address, listAddress: this.list.address, logRetentionMs: RETENTION_MS },
        operators: [{ name: 'soak', tokenDigests: [digest('soak')] }],
        memberKeys: [{ id: 'soak', keyVariable: 'FOXTAILLEVER_SOAK_KEY' }],
        limits: { claimKeptMs: RETENTION_MS / 2, ...this.options.limits },
        logLevel: 'error'
      }))
      const script = fileURLToPath(new URL('./main.js', import.meta.resolve('foxtaillever-router')))
      const child = Child.create({ name: `entry-${index}`, arguments: [...this.options.entryFlags ?? [], script, file], environment: { FOXTAILLEVER_SOAK_KEY: memberKey }, onLine: () => {} })
      this.launch(child)
      this.entries.push({ child, address: `http://127.0.0.1:${listen}`, control: `http://127.0.0.1:${control}` })
    }
    await Promise.all(this.entries.map(async ({ address }) => await this.waitFor(`${address}/readyz`)))
  }

  /** Sets faults of a stand-in; an unreachable stand-in is skipped, since it already has a worse fault. */
  async setFaults (served: ServedProcess, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.sendJson(served.address, 'POST', '/faults', JSON.stringify(faults))
  }

  private async sendJson (address: string, method: 'PUT' | 'POST', path: string, body: string): Promise<void> {
    try {
      const answer = await request(`http://${address}${path}`, { method, body, headers: { 'content-type': 'application/json' }, headersTimeout: 2000 })
      await answer.body.dump()
    } catch {
      // The stand-in may be unreachable because of an injected fault.
    }
  }

  async waitFor (url: string): Promise<void> {
    const deadline = this.clock.now() + READY_TIMEOUT_MS
    while (this.clock.now() < deadline) {
      try {
        const answer = await request(url, { headersTimeout: 1000 })
        await answer.body.dump()
        if (answer.statusCode === 200) {
          return
        }
      } catch {
        // The process doesn't listen yet.
      }
      await waitUntil(this.clock, this.clock.now() + POLL_INTERVAL_MS)
    }
    const errorOutput = this.entries.map(({ child }) => child.stderrTail).join('\n')
    throw new Error(`${url} does not answer.\n${errorOutput}`)
  }

  async close (): Promise<void> {
    await Promise.all(this.children.map(async child => await child.kill()))
    await rm(this.folder, { recursive: true })
  }
}
