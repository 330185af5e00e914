/**
 * SIGTERM while clients with small windows read answers that the machine already has
 * in full: does each client get its answer whole, as the rule LOST asks around planned work?
 */
import { execFile } from 'node:child_process'
import { writeFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { BOUNDS, Deployment, sleep } from '../standins/deployment.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const CLIENT = fileURLToPath(new URL('../standins/slowClient.py', import.meta.url))
const ZONES = ['petrolina', 'juazeiro', 'recife']
/** One download a machine; sizes differ a little, as documents do. */
const SIZES = [1_000_000, 1_150_000, 1_300_000]
const BYTES_PER_S = 190_000
const WINDOW_BYTES = 4096
const LIMIT_MS = 15_000
const TERM_AFTER_MS = 1000

const lines = []
const record = (event, fields = {}) => lines.push(JSON.stringify({ at: Date.now(), event, ...fields }))
const deployment = new Deployment()

async function main () {
  const hosts = ZONES.map((_, index) => `127.0.0.${11 + index}`)
  await deployment.open(hosts)
  const runs = new Map()
  await deployment.addWorker('127.0.0.1', { id: 'i-5ed1a0', service: 'app', zone: ZONES[0] }, (request, body, response) => {
    const id = request.headers['x-request-id']
    const answer = Buffer.alloc(SIZES[Number(id.at(-1))], `order ${id} `)
    const run = { startedAt: Date.now(), finishedAt: undefined }
    runs.set(id, run)
    record('worker runs', { id, deadlineMs: request.headers['x-deadline-ms'] })
    response.writeHead(200, { 'X-Request-Id': id, 'X-Server-Stamp': `stamp-${id}`, 'Content-Type': 'application/pdf', 'Content-Length': answer.length })
    response.end(answer)
    response.on('finish', () => {
      run.finishedAt = Date.now()
      record('worker has sent its whole answer', { id, bytes: answer.length })
    })
  })
  deployment.configure({
    version: 3,
    routes: [{ name: 'r-export', host: 'racao.example', path_prefix: '/export/', kind: 'non_idempotent', timeout_ms: LIMIT_MS, target_latency_ms: 1000, priority: 2, service: 'app', max_attempts: 1, public: false, sticky: false, resumable: false }],
    services: [{ name: 'app', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }],
    tenants: [{ name: 'granja', api_keys: ['key-granja'], priority: 1, isolated: false }]
  })
  const fronts = hosts.map((host, index) => deployment.addFront(`front-${ZONES[index]}-1`, ZONES[index], host, hosts))
  fronts.forEach(front => front.start())
  await Promise.all(fronts.map(async front => await front.waitUntilReady()))
  await sleep(3000)

  const downloads = fronts.map(async ({ address }, index) => {
    const [host, port] = address.split(':')
    const { stdout } = await promisify(execFile)('python3', [CLIENT, host, port, `export-${index}`, 'racao.example', '/export/orders', 'key-granja', String(LIMIT_MS), String(BYTES_PER_S), String(WINDOW_BYTES)])
    const result = JSON.parse(stdout)
    record('client', result)
    return result
  })
  await sleep(TERM_AFTER_MS)
  const termAt = Date.now()
  if (HAS_TROUBLE) {
    fronts.forEach(front => {
      record('SIGTERM', { node: front.settings.node })
      front.signal('SIGTERM')
      front.ended.then(end => record('process ended', { node: front.settings.node, ...end, afterTermMs: end.at - termAt }))
    })
  }
  const results = await Promise.all(downloads)
  const lost = results.filter(({ id, whole, endedAt, beganAt }) => {
    const run = runs.get(id)
    const workerAtWorkUntil = run?.finishedAt ?? Infinity
    const isExcused = endedAt - beganAt >= LIMIT_MS || workerAtWorkUntil >= termAt + BOUNDS.grace_s * 1000 * 5 / 6 || endedAt > termAt + BOUNDS.grace_s * 1000 + 1000
    return !whole && run !== undefined && !isExcused
  })
  const others = results.filter(result => !result.whole && !lost.includes(result))
  record('verdict', { trouble: HAS_TROUBLE, requests: results.length, whole: results.filter(({ whole }) => whole).length, lost: lost.map(({ id }) => id), cutButExcused: others.map(({ id }) => id) })
  return lost.length > 0 || (!HAS_TROUBLE && others.length > 0) ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  record('could not run', { reason: String(error) })
} finally {
  await deployment.close()
}
writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`)
process.stdout.write(`${lines.at(-1)}\n`)
process.exit(code)
