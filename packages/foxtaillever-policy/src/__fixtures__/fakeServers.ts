/**
 * A simple model of backend servers: slots, one prefill at a time, parallel
 * decoding, and a cache that drops unused prefixes. It advances in steps and is
 * just detailed enough to show what callers receive.
 */
import { PriorityClass } from 'foxtaillever-core'
import type { Job } from '../job.js'

export interface FakeServer {
  readonly name: string
  slots: number
  prefillTokensPerMs: number
  decodeTokensPerMs: number
  /** How many times slower than configured. */
  slowness: number
  /** Refuses connections. */
  isDown: boolean
  incarnation: number
  readonly cache: Map<string, number>
  waiting: FakeRun[]
  running: FakeRun[]
}

export interface FakeRun {
  readonly job: Job
  prefillLeft: number
  decodeLeft: number
  cachedTokens: number
  hasToken: boolean
}

/** Listeners for what happens in one step of a server. */
export interface FakeEvents {
  started: (run: FakeRun) => void
  firstToken: (run: FakeRun) => void
  finished: (run: FakeRun) => void
}

/** Cached prefixes are dropped after this time without use, milliseconds. */
const CACHE_RETENTION_MS = 8000

export function createFakeServer (name: string): FakeServer {
  return { name, slots: 8, prefillTokensPerMs: 20, decodeTokensPerMs: 0.06, slowness: 1, isDown: false, incarnation: 1, cache: new Map(), waiting: [], running: [] }
}

function matchCache (server: FakeServer, job: Job, now: number): number {
  const hits = job.levels.filter(({ hash }) => now - (server.cache.get(`${job.account}/${hash}`) ?? -Infinity) < CACHE_RETENTION_MS)
  return hits.at(-1)?.tokens ?? 0
}

function touchCache (server: FakeServer, job: Job, now: number): void {
  job.levels.forEach(({ hash }) => server.cache.set(`${job.account}/${hash}`, now))
}

export function enqueue (server: FakeServer, job: Job, answerTokens: number): void {
  const run = { job, prefillLeft: 0, decodeLeft: answerTokens, cachedTokens: 0, hasToken: false }
  // Engines run waiting priority requests before others.
  const before = job.priority === PriorityClass.Priority ? server.waiting.findIndex(other => other.job.priority !== PriorityClass.Priority) : -1
  server.waiting.splice(before < 0 ? server.waiting.length : before, 0, run)
}

/** Restarts the server empty; returns the runs that were lost. */
export function restartEmpty (server: FakeServer): FakeRun[] {
  const lost = [...server.running, ...server.waiting]
  server.incarnation += 1
  server.cache.clear()
  server.running = []
  server.waiting = []
  return lost
}

export function stepServer (server: FakeServer, stepMs: number, now: number, events: FakeEvents): void {
  while (server.running.length < server.slots && server.waiting.length > 0) {
    const run = server.waiting.shift() as FakeRun
    run.cachedTokens = matchCache(server, run.job, now)
    run.prefillLeft = run.job.promptTokens - run.cachedTokens
    server.running.push(run)
    events.started(run)
  }
  let prefill = stepMs * server.prefillTokensPerMs / server.slowness
  for (const run of [...server.running]) {
    const prefilled = Math.min(prefill, run.prefillLeft)
    run.prefillLeft -= prefilled
    prefill -= prefilled
    if (run.prefillLeft <= 0) {
      decode(server, run, stepMs, now, events)
    }
  }
}

function decode (server: FakeServer, run: FakeRun, stepMs: number, now: number, events: FakeEvents): void {
  if (!run.hasToken) {
    run.hasToken = true
    touchCache(server, run.job, now)
    events.firstToken(run)
  }
  run.decodeLeft -= stepMs * server.decodeTokensPerMs / server.slowness
  if (run.decodeLeft <= 0) {
    server.running = server.running.filter(other => other !== run)
    events.finished(run)
  }
}
