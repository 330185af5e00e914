/** Starts entry processes with the commands of the deploy file, each on a loopback address of its own, and ends them. */
import { spawn } from 'node:child_process'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))

/** Bounds as in DEPLOY.md and the sheet of Presedan. */
export const BOUNDS = { seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, skew_bound_ms: 5000, strict_revoke: false, revoke_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_slack: 52, recovery_s: 12, transit_ms: 120, reuse_window_s: 10, require_fencing: true, lease_ms: 3000, thaw_slack_ms: 300, version_ms: 8000, version_all_ms: 11000 }

export const HEARTBEAT_MS = 1200

export async function freePort (host) {
  const server = createServer()
  await new Promise(resolve => server.listen(0, host, resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

/** The words of the line `run` of the deploy file. */
function runWords () {
  const line = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  return line[1].split(' ')
}

export class Entries {
  folder = mkdtempSync(join(tmpdir(), 'review-'))
  entries = []

  /** A case that is stopped ends what it has started. */
  constructor () {
    process.once('SIGTERM', () => {
      this.entries.forEach(({ child }) => child.kill('SIGKILL'))
      rmSync(this.folder, { recursive: true, force: true })
      process.exit(2)
    })
  }

  /** @param options `zones` of the entries in order, `store` (an address, or a function of the index), `net` (second number of the loopback addresses), `memoryMb`. */
  async start ({ zones, store, net, memoryMb = 350, logFile }) {
    const hosts = zones.map((_, index) => `127.${net}.${index + 1}.1`)
    const port = await freePort(hosts[0])
    const control = await Promise.all(hosts.map(async host => `${host}:${await freePort(host)}`))
    this.logFile = logFile
    for (const [index, zone] of zones.entries()) {
      const ip = hosts[index]
      const [front, ready] = [`${ip}:${await freePort(ip)}`, `${ip}:${await freePort(ip)}`]
      const name = `front-${zone}-${index + 1}`
      const path = join(this.folder, `${name}.json`)
      writeFileSync(path, JSON.stringify({
        node: name,
        role: 'entry',
        machine_class: 'front',
        serves: ['front', 'control'],
        ip,
        zone,
        region: 'region',
        zones: Object.fromEntries(zones.map(name => [name, 'region'])),
        listen: { front, ready, control: control[index] },
        internal_ports: [port, port + 15],
        seeds: control.slice(0, 3),
        bootstrap: true,
        in_tolerance: false,
        limits: { cpu_share: 0.675, cores: 1, memory_mb: memoryMb, max_fds: 4100, link_mbps: 1000, disk_mb: 0 },
        data_dir: null,
        discovery: 'platform',
        entry: 'vip',
        heartbeat_ms: HEARTBEAT_MS,
        contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine', 'tenants', 'platform'],
        tolerate: { machines: 2, zones: 0, regions: 0 },
        bounds: BOUNDS,
        platform: { address: typeof store === 'function' ? store(index) : store, form: 'log', writes_per_s: 400, reads_per_s: 2000, parts: 8, append_ms: 4, part_mb_s: 20, read_mb_s: 80, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000 }
      }))
      const entry = { name, zone, ip, front, ready, path }
      this.entries.push(entry)
      this.spawn(entry)
    }
  }

  spawn (entry) {
    const [command, ...words] = runWords()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(command === 'node' ? process.execPath : command, words, { cwd: root, env: { PATH, HOME, LANG, FOXTAILLEVER_BOOT: entry.path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = bytes => this.logFile && appendFileSync(this.logFile, bytes)
    child.stdout.on('data', log)
    child.stderr.on('data', log)
    entry.child = child
    entry.ended = new Promise(resolve => child.on('exit', (code, signal) => {
      entry.exit = { code, signal, at: Date.now() }
      resolve()
    }))
  }

  async close () {
    for (const { child, ended } of this.entries) {
      child.kill('SIGKILL')
      await ended
    }
    rmSync(this.folder, { recursive: true, force: true })
  }
}
