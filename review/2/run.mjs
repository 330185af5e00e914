/**
 * One request crashes each worker that begins to run it, at once. It comes again and again,
 * with the same path, caller and body, at any machine. Does the system stop passing it on?
 */
import { request as httpRequest } from 'node:http'
import { writeFileSync } from 'node:fs'
import { BOUNDS, Deployment, sleep } from '../standins/deployment.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** Time from the start of the run to the crash, ms; other values are for comparison only. */
const CRASH_AFTER_MS = Number(process.env.CRASH_AFTER_MS ?? 0)
const ZONES = ['petrolina', 'juazeiro', 'recife']
const RESTART_MS = 2000
const LENGTH_MS = 30_000
const POISON_EVERY_MS = 400
const SOUND_EVERY_MS = 60
const WORK_MS = 21
const POISON_PATH = '/cite/poison'
/** "reaches workers in more than three retries" */
const RETRIES_ALLOWED = 3

const lines = []
const record = (event, fields = {}) => lines.push(JSON.stringify({ at: Date.now(), event, ...fields }))
const deployment = new Deployment()
const arrivals = []
const crashes = []
const counts = { sound: 0, whole: 0, lostByCrash: 0, refused: 0, other: 0 }
let workerNumber = 0
let isOver = false

async function startWorker (zone) {
  const id = `i-a${workerNumber++}`
  const worker = await deployment.addWorker('127.0.0.1', { id, service: 'app', zone }, (request, body, response) => {
    const requestId = request.headers['x-request-id']
    const answer = () => {
      response.writeHead(200, { 'X-Request-Id': requestId, 'X-Server-Stamp': `stamp-${requestId}`, 'Content-Length': 4 })
      response.end('cite')
    }
    setTimeout(answer, WORK_MS)
  })
  worker.beginsToRun = ({ url, headers: { 'x-request-id': requestId } }) => {
    if (url !== POISON_PATH) {
      return false
    }
    arrivals.push({ at: Date.now(), requestId, id })
    record('worker begins to run the crashing request', { requestId, worker: id })
    if (CRASH_AFTER_MS === 0) {
      crash()
    } else {
      setTimeout(crash, CRASH_AFTER_MS)
    }
    return true
  }
  const sockets = new Set()
  worker.server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.once('close', () => sockets.delete(socket))
  })
  /** A process that ends: its connections are reset, its entry stays until three heartbeats are missed. */
  const crash = () => {
    if (worker.hasCrashed === true || isOver) {
      return
    }
    worker.hasCrashed = true
    crashes.push({ at: Date.now(), id })
    record('worker crashes', { worker: id, nth: crashes.length })
    clearInterval(worker.timer)
    worker.server.close()
    sockets.forEach(socket => socket.resetAndDestroy())
    setTimeout(() => { deployment.store.put('keyed.servers', id, undefined) }, 3600)
    setTimeout(() => { if (!isOver) { startWorker(zone) } }, RESTART_MS)
  }
}

/** One attempt of a client on a new channel. */
async function send (front, method, path, id, limitMs) {
  const [host, port] = front.address.split(':')
  return await new Promise(resolve => {
    const call = httpRequest({ host, port, method, path, agent: false, timeout: limitMs + 500, headers: { Host: 'racao.example', 'X-Request-Id': id, 'X-Deadline-Ms': String(limitMs), Authorization: 'Bearer key-granja' } }, response => {
      response.resume()
      response.on('end', () => resolve({ status: response.complete ? response.statusCode : 0, retryAfter: response.headers['retry-after'] }))
      response.on('error', () => resolve({ status: 0 }))
    })
    call.on('timeout', () => call.destroy())
    call.on('error', () => resolve({ status: 0 }))
    call.end()
  })
}

async function main () {
  const hosts = ZONES.map((_, index) => `127.0.0.${31 + index}`)
  await deployment.open(hosts)
  for (const zone of ZONES) {
    await startWorker(zone)
  }
  const route = (name, path, kind, attempts) => ({ name, host: 'racao.example', path_prefix: path, kind, timeout_ms: 1500, target_latency_ms: 100, priority: 2, service: 'app', max_attempts: attempts, public: false, sticky: false, resumable: false })
  deployment.configure({
    version: 3,
    routes: [route('r-cite', '/cite/', 'idempotent', 2), route('r-export', '/export/', 'non_idempotent', 1)],
    services: [{ name: 'app', health_path: '/health', max_conns: 110, protocol: 'h1', tls: false }],
    tenants: [{ name: 'granja', api_keys: ['key-granja'], priority: 1, isolated: false }]
  })
  const fronts = hosts.map((host, index) => deployment.addFront(`front-${ZONES[index]}-1`, ZONES[index], host, hosts))
  fronts.forEach(front => front.start())
  await Promise.all(fronts.map(async front => await front.waitUntilReady()))
  await sleep(4000)

  const until = Date.now() + LENGTH_MS
  const poisonUntil = HAS_TROUBLE ? until : 0
  const pending = []
  const sendSound = async () => {
    for (let number = 0; Date.now() < until; number += 1) {
      counts.sound += 1
      pending.push(send(fronts[number % 3], 'POST', `/export/${number}`, `sound-${number}`, 1500).then(({ status }) => {
        if (status === 200) {
          counts.whole += 1
        } else if (status === 502 || status === 0) {
          counts.lostByCrash += 1
        } else if (status === 503) {
          counts.refused += 1
        } else {
          counts.other += 1
        }
      }))
      await sleep(SOUND_EVERY_MS)
    }
  }
  const sendPoison = async () => {
    for (let number = 0; Date.now() < poisonUntil; number += 1) {
      const id = `poison-${number}`
      const at = Date.now()
      pending.push(send(fronts[number % 3], 'GET', POISON_PATH, id, 1500).then(answer => record('client of the crashing request', { id, sentAt: at, ...answer })))
      await sleep(POISON_EVERY_MS)
    }
  }
  await Promise.all([sendSound(), sendPoison()])
  await Promise.all(pending)
  isOver = true
  const third = crashes[2]?.at
  const late = third === undefined ? [] : arrivals.filter(({ at }) => at > third + BOUNDS.contact_ms)
  const retries = new Set(late.map(({ requestId }) => requestId)).size
  record('verdict', { trouble: HAS_TROUBLE, crashes: crashes.length, arrivals: arrivals.length, thirdCrashAt: third, arrivalsLater: late.length, retriesLater: retries, sound: counts })
  if (HAS_TROUBLE && crashes.length < 3) {
    return 0
  }
  return retries > RETRIES_ALLOWED || (!HAS_TROUBLE && counts.whole < counts.sound) ? 1 : 0
}

let code = 2
try {
  code = await main()
} catch (error) {
  record('could not run', { reason: String(error) })
} finally {
  isOver = true
  await deployment.close()
}
writeFileSync(new URL('record.txt', import.meta.url), `${lines.join('\n')}\n`)
process.stdout.write(`${lines.at(-1)}\n`)
process.exit(code)
