/**
 * Workers spoil a few of their answers: one bit of the status line is wrong. Looks for requests that may run once, have
 * run, and are answered with a status that promises that they have not.
 */
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { pause, send, waitFor } from '../standins-2/client.mjs'
import { BOUNDS, Entries, HEARTBEAT_MS } from '../standins-2/entries.mjs'
import { Record } from '../standins-2/record.mjs'
import { Store } from '../standins-2/store.mjs'
import { Worker } from '../standins-2/worker.mjs'

const hasTrouble = process.env.TROUBLE !== '0'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const HOST = 'review.example'
const KEY = 'key-of-the-firm'

/** One of three workers spoils 2 in 100 of its answers for five and a half seconds. */
const FAULTY_WORKERS = 1
const SPOILED_SHARE = 0.02

const LOAD_MS = 5500
const INTERVAL_MS = 15

/** Statuses that promise that the request has not run and never will. */
const promises = new Set([408, 421, 429, 503])

const folder = fileURLToPath(new URL('.', import.meta.url))
const record = Record.create()
const entries = new Entries()
const store = new Store()
const workers = []

function configure () {
  store.put('keyed.op', 'config', {
    version: 7,
    routes: [{ name: 'exports', host: HOST, path_prefix: '/exports/', kind: 'non_idempotent', timeout_ms: 1000, target_latency_ms: 193, priority: 2, service: 'app', max_attempts: 1, public: false, sticky: false }],
    services: [{ name: 'app', health_path: '/health', max_conns: 96, protocol: 'h1', tls: false }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'firm', api_keys: [KEY], priority: 1, isolated: false }]
  })
}

let count = 0

async function ask () {
  count += 1
  const id = `r${String(count).padStart(6, '0')}`
  const entry = entries.entries[count % entries.entries.length]
  return { id, entry, reply: await send(entry.front, { host: HOST, path: `/exports/${count}`, body: `export ${count}`, id, key: KEY, deadlineMs: 1000, giveUpMs: 1500 }) }
}

/** Spoils every so many answers of a worker. */
function createSpoiler () {
  let answers = 0
  return () => {
    answers += 1
    return answers % Math.round(1 / SPOILED_SHARE) === 0
  }
}

async function run () {
  await store.listen('127.97.99.1')
  configure()
  for (const [index, zone] of ZONES.entries()) {
    const worker = new Worker({
      store,
      host: '127.97.98.1',
      service: 'app',
      zone,
      slots: 6,
      queue: 24,
      heartbeatMs: HEARTBEAT_MS,
      workMs: 30,
      spoils: hasTrouble && index < FAULTY_WORKERS ? createSpoiler() : () => false,
      note: text => record.note(text)
    })
    workers.push(worker)
    await worker.start()
  }
  await entries.start({ zones: ZONES, store: store.address, net: 97 })
  for (const { front } of entries.entries) {
    await waitFor(`${front} serves`, async () => (await send(front, { host: HOST, path: '/exports/probe', body: 'probe', id: `p${count++}`, key: KEY, deadlineMs: 1000 })).status === 200)
  }
  await pause(BOUNDS.contact_ms)
  record.note('all machines are in touch')

  const asked = []
  const until = Date.now() + LOAD_MS
  while (Date.now() < until) {
    asked.push(ask())
    await pause(INTERVAL_MS)
  }
  const answered = await Promise.all(asked)

  const runs = new Map(workers.flatMap(worker => worker.runs).map(run => [run.requestId, run]))
  const outcomes = {}
  answered.forEach(({ reply }) => { outcomes[reply.status] = (outcomes[reply.status] ?? 0) + 1 })
  const broken = answered.filter(({ id, reply }) => promises.has(reply.status) && runs.has(id))
  broken.forEach(({ id, entry, reply }) => {
    const { id: worker, at } = runs.get(id)
    record.note(`${id} ran at ${worker} ${at - reply.sentAt} ms after it was sent to ${entry.name}, and was answered ${reply.status} after ${reply.answeredAt - reply.sentAt} ms: ${reply.body.trim()}`)
  })
  record.note(`${answered.length} requests, answers by status: ${JSON.stringify(outcomes)}`)
  record.note(`${broken.length} requests were answered with a promise that they have not run, and have run`)
  return broken.length > 0
}

let code = 2
try {
  code = await run() ? 1 : 0
} catch (error) {
  record.note(`could not run: ${error.stack}`)
}
record.note(code === 1 ? 'the rule was broken' : code === 0 ? 'the rule held' : 'no result')
record.write(join(folder, 'record.txt'))
await entries.close()
process.exit(code)
