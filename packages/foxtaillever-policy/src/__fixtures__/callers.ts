/**
 * Simulates callers, one or more schedulers and the fake servers behind them, in
 * virtual time. Tests read the result of each caller.
 */
import {
  AdministrativeState, createPreset, emptyConfiguration, Failure, FailureCode, PlacementPolicy, PresetName, PriorityClass, SeededRandom, ServerKind, Verdict,
  type ClientAccount, type Configuration, type Preset
} from 'foxtaillever-core'
import type { Job } from '../job.js'
import { FailureOutcome, Scheduler } from '../scheduler.js'
import { createFakeServer, enqueue, restartEmpty, stepServer, type FakeRun, type FakeServer } from './fakeServers.js'

const STEP_MS = 5
const REPORT_INTERVAL_MS = 500
const REPORT_DELAY_MS = 300
const START_MS = 1_000_000
export const MODEL = 'model'

/** What one caller got as an answer. */
export interface CallerResult {
  readonly job: Job
  state: 'open' | 'answered' | 'refused' | 'failed'
  firstTokenMs: number
  endMs: number
  sends: number
  cachedTokens: number
  failure: Failure | undefined
  servers: string[]
}

export interface CallersOptions {
  readonly servers?: number
  readonly instances?: number
  readonly seed?: number
  readonly accounts?: ReadonlyArray<Partial<ClientAccount> & { readonly name: string }>
  readonly preset?: Partial<Preset>
}

export interface Call {
  readonly account?: string
  readonly priority?: PriorityClass
  readonly prefix?: string
  readonly prefixTokens?: number
  readonly promptTokens?: number
  readonly answerTokens?: number
  readonly timeoutMs?: number
  readonly idempotent?: boolean
  readonly fingerprint?: string
}

export function createTestConfiguration (options: CallersOptions): Configuration {
  const names = Array.from({ length: options.servers ?? 6 }, (_, index) => `server-${index + 1}`)
  const preset = createPreset(PresetName.OrdinaryDays, { placement: PlacementPolicy.ExpectedFirstToken, ...options.preset })
  return {
    ...emptyConfiguration,
    revision: 1,
    models: { [MODEL]: { name: MODEL, weightsVersion: 'v1', adapters: [] } },
    presets: { ...emptyConfiguration.presets, [PresetName.OrdinaryDays]: preset },
    accounts: Object.fromEntries((options.accounts ?? []).map(account => [account.name, { keyDigests: [], weight: 1, priority: PriorityClass.Standard, tokensPerSecond: 1e9, concurrentRequests: 1e6, ...account }])),
    servers: Object.fromEntries(names.map((name, index) => [name, {
      name, kind: ServerKind.Language, address: '', failureDomain: `domain-${index % 3 + 1}`, models: [MODEL], slots: 8, prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 60, cacheTokens: 50_000, checksFencing: true, checksCaller: true, state: AdministrativeState.InService
    }]))
  }
}

export class Callers {
  now = START_MS
  readonly results: CallerResult[] = []
  readonly servers: FakeServer[]
  readonly schedulers: Scheduler[]
  readonly random: SeededRandom
  /** Fingerprints of requests that crash each server that begins to run them. */
  readonly crashingFingerprints = new Set<string>()
  private readonly byId = new Map<string, { result: CallerResult, answerTokens: number, scheduler: Scheduler }>()
  private readonly delayedReports: Array<{ at: number, deliver: () => void }> = []

  private constructor (readonly options: CallersOptions) {
    const configuration = createTestConfiguration(options)
    this.servers = Object.keys(configuration.servers).map(createFakeServer)
    this.random = SeededRandom.create(options.seed ?? 1)
    this.schedulers = Array.from({ length: options.instances ?? 1 }, (_, index) => {
      const scheduler = Scheduler.create({ random: SeededRandom.create((options.seed ?? 1) * 100 + index), failureDomain: `domain-${index % 3 + 1}` })
      scheduler.configure(configuration, this.now)
      scheduler.setInstances(options.instances ?? 1, index)
      return scheduler
    })
  }

  static create (options: CallersOptions = {}): Callers {
    return new Callers(options)
  }

  sendRequest (call: Call, instance = this.random.below(this.schedulers.length)): CallerResult {
    const scheduler = this.schedulers[instance] as Scheduler
    const job = this.createJob(call)
    const result: CallerResult = { job, state: 'open', firstTokenMs: Infinity, endMs: Infinity, sends: 0, cachedTokens: 0, failure: undefined, servers: [] }
    this.results.push(result)
    this.byId.set(job.id, { result, answerTokens: call.answerTokens ?? 16, scheduler })
    scheduler.submitJob(job, this.now).ifLeft(failure => this.endCall(result, 'refused', failure))
    return result
  }

  private createJob (call: Call): Job {
    const id = `job-${this.results.length}`
    const account = call.account ?? 'account-1'
    const prefixTokens = call.prefixTokens ?? 2048
    const promptTokens = call.promptTokens ?? prefixTokens + 128
    return {
      id,
      account,
      model: MODEL,
      priority: call.priority ?? PriorityClass.Standard,
      idempotent: call.idempotent ?? true,
      arrivedAt: this.now,
      deadline: this.now + (call.timeoutMs ?? 30_000),
      levels: [{ hash: call.prefix ?? 'prefix', tokens: prefixTokens }, { hash: id, tokens: promptTokens }],
      promptTokens,
      maxTokens: call.answerTokens ?? 16,
      fingerprint: call.fingerprint ?? id
    }
  }

  /** Advances the time; `each` is called at every step, to send new requests. */
  run (milliseconds: number, each: () => void = () => {}): void {
    for (const until = this.now + milliseconds; this.now < until; this.now += STEP_MS) {
      each()
      this.schedulers.forEach(scheduler => this.tick(scheduler))
      this.servers.forEach(server => this.stepOneServer(server))
      this.deliverReports()
    }
  }

  /** Returns a step function for open-loop arrivals at the rate, drawn from the seed. */
  createArrivals (requestsPerSecond: number, call: () => Call): () => void {
    return () => {
      for (let chance = requestsPerSecond * STEP_MS / 1000; this.random.next() < chance; chance -= 1) {
        this.sendRequest(call())
      }
    }
  }

  /** Crashes the server; the jobs that it had fail with the failure that the router would report. */
  crashServer (server: FakeServer): void {
    for (const run of restartEmpty(server)) {
      this.failAttempt(run.job, Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'crashed'))
    }
  }

  private tick (scheduler: Scheduler): void {
    const { assignments, refusals } = scheduler.tick(this.now)
    for (const { jobId, failure } of refusals) {
      this.endCall(this.findResult(jobId), 'refused', failure)
    }
    for (const { jobId, server: name } of assignments) {
      const server = this.servers.find(server => server.name === name) as FakeServer
      const result = this.findResult(jobId)
      result.sends += 1
      result.servers.push(name)
      if (server.isDown) {
        this.failAttempt(result.job, Failure.notRun(FailureCode.ConnectionRefused, 'down'))
      } else {
        enqueue(server, result.job, this.byId.get(jobId)?.answerTokens ?? 16)
      }
    }
  }

  private stepOneServer (server: FakeServer): void {
    if (server.running.some(({ job }) => this.crashingFingerprints.has(job.fingerprint))) {
      this.crashServer(server)
    }
    stepServer(server, STEP_MS, this.now, {
      started: run => this.schedulerOf(run).recordStart(run.job.id, { ...this.tokenCounts(run), streamId: '', incarnation: `${server.name}-${server.incarnation}`, weightsVersion: 'v1' }, this.now),
      firstToken: run => {
        const result = this.findResult(run.job.id)
        result.firstTokenMs = this.now - run.job.arrivedAt
        result.cachedTokens = run.cachedTokens
        this.schedulerOf(run).recordFirstToken(run.job.id, this.now)
      },
      finished: run => {
        this.schedulerOf(run).recordFinish(run.job.id, { ...this.tokenCounts(run), finishReason: 'stop', completionTokens: this.byId.get(run.job.id)?.answerTokens ?? 0 }, this.now)
        this.endCall(this.findResult(run.job.id), 'answered')
      }
    })
  }

  private tokenCounts ({ job, cachedTokens }: FakeRun): { promptTokens: number, cachedTokens: number } {
    return { promptTokens: job.promptTokens, cachedTokens }
  }

  private deliverReports (): void {
    if (this.now % REPORT_INTERVAL_MS === 0) {
      this.servers.filter(({ isDown }) => !isDown).forEach(server => this.queueReport(server))
    }
    while (this.delayedReports[0] && this.delayedReports[0].at <= this.now) {
      this.delayedReports.shift()?.deliver()
    }
  }

  private queueReport (server: FakeServer): void {
    const report = {
      incarnation: `${server.name}-${server.incarnation}`,
      weightsVersion: 'v1',
      running: server.running.length,
      waiting: server.waiting.length,
      waitingTokens: server.waiting.reduce((sum, { job }) => sum + job.promptTokens, 0) + server.running.reduce((sum, { prefillLeft }) => sum + prefillLeft, 0),
      cacheTokensUsed: 0,
      leaving: false,
      madeAt: this.now
    }
    this.delayedReports.push({ at: this.now + REPORT_DELAY_MS, deliver: () => this.schedulers.forEach(scheduler => scheduler.applyLoadReport(server.name, report, this.now)) })
  }

  private failAttempt (job: Job, failure: Failure): void {
    const { result, scheduler } = this.byId.get(job.id) as { result: CallerResult, scheduler: Scheduler }
    if (scheduler.recordFailure(job.id, failure, this.now) === FailureOutcome.Failed) {
      this.endCall(result, 'failed', failure)
    }
  }

  private endCall (result: CallerResult, state: CallerResult['state'], failure?: Failure): void {
    result.state = state
    result.failure = failure
    result.endMs = this.now - result.job.arrivedAt
  }

  private findResult (jobId: string): CallerResult {
    return this.byId.get(jobId)?.result as CallerResult
  }

  private schedulerOf ({ job }: FakeRun): Scheduler {
    return this.byId.get(job.id)?.scheduler as Scheduler
  }
}

/** Quantile of the times to first token of the answered callers, milliseconds. */
export function firstTokenQuantile (results: readonly CallerResult[], share: number): number {
  const times = results.filter(({ state }) => state === 'answered').map(({ firstTokenMs }) => firstTokenMs).sort((a, b) => a - b)
  return times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? Infinity
}

export function selectAnswered (results: readonly CallerResult[]): CallerResult[] {
  return results.filter(({ state }) => state === 'answered')
}
