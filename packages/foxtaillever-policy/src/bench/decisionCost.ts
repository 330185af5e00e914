/**
 * Prints the time of one decision at the size that the system is designed for. Run it with
 * `node packages/foxtaillever-policy/dist/bench/decisionCost.js`.
 */
import { performance } from 'node:perf_hooks'
import {
  AdministrativeState, emptyConfiguration, PriorityClass, SeededRandom, ServerKind,
  type BackendServer, type ClientAccount, type Configuration, type PrefixLevel
} from 'foxtaillever-core'
import type { Job } from '../job.js'
import { Scheduler } from '../scheduler.js'

const SERVERS = 700
const ACCOUNTS = 1700
const MODELS = 38
const DECISIONS = 20_000
const WARM_UP = 5000
const IN_FLIGHT = 1000
const TOKENS_PER_BLOCK = 16
const SEED = 1

function createServer (index: number, modelNames: readonly string[]): BackendServer {
  return {
    name: `worker-${index}`,
    kind: ServerKind.Language,
    address: `10.0.${index >> 8}.${index & 255}:8000`,
    failureDomain: `domain-${index % 7}`,
    models: modelNames,
    slots: 32,
    prefillTokensPerSecond: 20_000,
    decodeTokensPerSecond: 60,
    cacheTokens: 500_000,
    checksFencing: true,
    checksCaller: true,
    state: AdministrativeState.InService
  }
}

function createAccount (index: number): ClientAccount {
  return { name: `account-${index}`, keyDigests: [], weight: 1 + index % 4, priority: PriorityClass.Standard, tokensPerSecond: 1e9, concurrentRequests: 1e6 }
}

function createBenchConfiguration (): Configuration {
  const models = Array.from({ length: MODELS }, (_, index) => `model-${index}`)
  const servers = Array.from({ length: SERVERS }, (_, index) => createServer(index, models))
  const accounts = Array.from({ length: ACCOUNTS }, (_, index) => createAccount(index))
  return {
    ...emptyConfiguration,
    models: Object.fromEntries(models.map(name => [name, { name, weightsVersion: 'v1', adapters: [] }])),
    servers: Object.fromEntries(servers.map(server => [server.name, server])),
    accounts: Object.fromEntries(accounts.map(account => [account.name, account]))
  }
}

/** A job whose prompt has that many cache blocks; decisions read only its levels. */
function createJob (id: number, blocks: number, random: SeededRandom, now: number): Job {
  const account = random.below(ACCOUNTS)
  const promptTokens = blocks * TOKENS_PER_BLOCK
  const level = (name: string, share: number): PrefixLevel => ({ hash: name, tokens: Math.ceil(promptTokens * share) })
  const catalogue = random.below(4)
  // An account uses two models; which prefixes the instance already knows is random.
  const model = (account + random.below(2)) % MODELS
  return {
    id: String(id),
    account: `account-${account}`,
    model: `model-${model}`,
    priority: PriorityClass.Standard,
    idempotent: true,
    arrivedAt: now,
    deadline: now + 60_000,
    levels: [level(`catalogue-${catalogue}`, 0.6), level(`tenant-${catalogue}-${random.below(4)}`, 0.9), level(`question-${id}`, 1)],
    promptTokens,
    maxTokens: 100,
    fingerprint: String(id)
  }
}

interface Cost {
  readonly meanUs: number
  readonly p50Us: number
  readonly p99Us: number
}

/** Times `submitJob` and `tick` together; recording the answers is not timed. */
function measureDecisions (blocks: number): Cost {
  const random = SeededRandom.create(SEED)
  const scheduler = Scheduler.create({ random, failureDomain: 'domain-0' })
  scheduler.configure(createBenchConfiguration(), 0)
  const running: Job[] = []
  const times: number[] = []
  for (let index = 0; index < WARM_UP + DECISIONS; index += 1) {
    const now = index
    const job = createJob(index, blocks, random, now)
    const start = performance.now()
    scheduler.submitJob(job, now)
    scheduler.tick(now)
    const elapsedUs = (performance.now() - start) * 1000
    running.push(job)
    if (running.length > IN_FLIGHT) {
      recordAnswer(scheduler, running.shift() as Job, now)
    }
    if (index >= WARM_UP) {
      times.push(elapsedUs)
    }
  }
  times.sort((a, b) => a - b)
  const quantile = (share: number): number => times[Math.floor(times.length * share)] as number
  return { meanUs: times.reduce((sum, time) => sum + time, 0) / times.length, p50Us: quantile(0.5), p99Us: quantile(0.99) }
}

function recordAnswer (scheduler: Scheduler, job: Job, now: number): void {
  const cachedTokens = job.levels[1]?.tokens ?? 0
  scheduler.recordStart(job.id, { streamId: '', incarnation: 'one', weightsVersion: 'v1', promptTokens: job.promptTokens, cachedTokens }, now)
  scheduler.recordFirstToken(job.id, now)
  scheduler.recordFinish(job.id, { finishReason: 'stop', promptTokens: job.promptTokens, cachedTokens, completionTokens: 50 }, now)
}

console.log(`${SERVERS} servers, ${ACCOUNTS} accounts, ${MODELS} models, ${DECISIONS} decisions (submit and tick) each`)
for (const blocks of [16, 256, 4096, 65_536]) {
  const { meanUs, p50Us, p99Us } = measureDecisions(blocks)
  console.log(`${String(blocks).padStart(6)} blocks in the prompt: mean ${meanUs.toFixed(1)} us, p50 ${p50Us.toFixed(1)} us, p99 ${p99Us.toFixed(1)} us`)
}
