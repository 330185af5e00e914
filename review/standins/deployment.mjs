/** A small deployment on loopback addresses: a store, workers that register in it, and entry processes that the deploy file's command starts. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { createServer as createHttpServer } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readBody, Store } from './store.mjs'

const ROOT = fileURLToPath(new URL('../../', import.meta.url))
const HEARTBEAT_MS = 1200
/** The bounds of rsp-foxtail. */
export const BOUNDS = {
  seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, skew_bound_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 58, recovery_s: 12, transit_ms: 120, reuse_window_s: 10, require_fencing: true, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 8000, version_all_ms: 11000
}

export async function sleep (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Ports that are free on all the hosts. */
export async function freePorts (hosts, count) {
  const ports = []
  while (ports.length < count) {
    const probe = createServer()
    await new Promise(resolve => probe.listen(0, hosts[0], resolve))
    const { port } = probe.address()
    await new Promise(resolve => probe.close(resolve))
    const areFree = await Promise.all(hosts.map(async host => await new Promise(resolve => {
      const other = createServer().once('error', () => resolve(false)).listen(port, host, () => other.close(() => resolve(true)))
    })))
    if (areFree.every(Boolean) && !ports.includes(port)) {
      ports.push(port)
    }
  }
  return ports
}

/** The words of the line `run` of the deploy file. */
function runWords () {
  const [, line] = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'))
  return line.split(' ')
}

/** One entry process; `settings` are those of its machine. */
export class Front {
  constructor (folder, settings) {
    this.settings = settings
    this.path = join(folder, `${settings.node}-${settings.ip}.json`)
    this.isEnded = true
    writeFileSync(this.path, JSON.stringify(settings))
  }

  get address () {
    return this.settings.listen.front
  }

  start () {
    const [program, ...words] = runWords()
    this.isEnded = false
    this.child = spawn(program, words, { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, FOXTAILLEVER_BOOT: this.path }, stdio: 'ignore' })
    this.ended = new Promise(resolve => this.child.once('exit', (code, signal) => {
      this.isEnded = true
      resolve({ code, signal, at: Date.now() })
    }))
  }

  signal (name) {
    if (!this.isEnded) {
      this.child.kill(name)
    }
  }

  async isReady () {
    try {
      return (await fetch(`http://${this.settings.listen.ready}/ready`, { signal: AbortSignal.timeout(500) })).status === 200
    } catch {
      return false
    }
  }

  async waitUntilReady (ms = 15_000) {
    for (const until = Date.now() + ms; Date.now() < until; await sleep(50)) {
      if (await this.isReady()) {
        return
      }
    }
    throw new Error(`${this.settings.node} isn't ready`)
  }
}

/** A worker that registers in the store; `handle` answers requests that it runs. */
export class Worker {
  constructor (store, { id, service, zone, slots = 6, models }, handle) {
    Object.assign(this, { store, id, service, zone, slots, models, seq: 0 })
    this.server = createHttpServer((request, response) => {
      this.receive(request, response, handle).catch(error => response.destroy(error))
    })
    this.server.keepAliveTimeout = 30_000
    /** Called with each request for this worker once its head has arrived; returns whether nothing more is done for it. */
    this.beginsToRun = () => false
  }

  async receive (request, response, handle) {
    const { headers: { 'x-request-id': id, 'x-expect-instance': expected } } = request
    if (expected === this.id && this.beginsToRun(request)) {
      return
    }
    const body = await readBody(request)
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Not-Executed': '1' }).end()
    } else if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end()
    } else if (id === undefined && request.url !== '/report' && request.url !== '/order') {
      response.writeHead(400, { 'X-Not-Executed': '1' }).end()
    } else {
      handle(request, body, response, this)
    }
  }

  async listen (host) {
    await new Promise(resolve => this.server.listen(0, host, resolve))
    this.address = `${host}:${this.server.address().port}`
    this.beat()
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
  }

  beat () {
    this.seq += 1
    const models = this.models === undefined ? {} : { stage: 'both', models: this.models() }
    this.store.put('keyed.servers', this.id, { service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', cold_left_ms: 0, seq: this.seq, ...models })
  }

  close () {
    clearInterval(this.timer)
    this.server.close()
    this.server.closeAllConnections()
  }
}

export class Deployment {
  constructor () {
    this.folder = mkdtempSync(join(tmpdir(), 'foxtaillever-review-'))
    this.store = new Store()
    this.fronts = []
    this.workers = []
  }

  /** @param hosts loopback addresses of the machines that run entry processes. */
  async open (hosts) {
    this.storeAddress = await this.store.listen('127.0.0.1', 0)
    this.ports = await freePorts(hosts, 4)
  }

  addFront (node, zone, ip, seeds = [], changes = {}) {
    const [front, ready, control, peer] = this.ports
    const settings = {
      node,
      role: 'entry',
      machine_class: 'front',
      serves: ['front', 'control'],
      ip,
      zone,
      region: 'nordeste',
      zones: { petrolina: 'nordeste', juazeiro: 'nordeste', recife: 'nordeste' },
      listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
      internal_ports: [peer, peer + 15],
      seeds: seeds.map(seed => `${seed}:${control}`),
      bootstrap: true,
      in_tolerance: false,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
      data_dir: null,
      discovery: 'platform',
      entry: 'vip',
      heartbeat_ms: HEARTBEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants', 'platform'],
      tolerate: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      platform: { address: this.storeAddress, form: 'log', writes_per_s: 400, reads_per_s: 2000, parts: 8, append_ms: 4, part_mb_s: 20, read_mb_s: 80, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000 },
      ...changes
    }
    const added = new Front(this.folder, settings)
    this.fronts.push(added)
    return added
  }

  async addWorker (host, options, handle) {
    const worker = new Worker(this.store, options, handle)
    await worker.listen(host)
    this.workers.push(worker)
    return worker
  }

  configure (configuration) {
    this.store.put('keyed.op', 'config', { limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 }, ...configuration })
  }

  /** Ends all processes that were started. */
  async close () {
    this.fronts.forEach(front => {
      front.signal('SIGCONT')
      front.signal('SIGKILL')
    })
    await Promise.all(this.fronts.map(({ ended }) => ended))
    this.workers.forEach(worker => worker.close())
    this.store.close()
    rmSync(this.folder, { recursive: true })
  }
}
