/**
 * Callers before one or more instances of the decisions, and the fake servers
 * behind them, in virtual time. Tests ask it what each caller received.
 */
import {
  AdministrativeState, createPreset, emptyConfiguration, Failure, FailureCode, PlacementPolicy, PresetName, PriorityClass, SeededRandom, ServerKind, Verdict,
  type ClientAccount, type Configuration, type Preset
} from 'foxtaillever-core'
import type { Job } from '../job.js'
import { Scheduler, Sequel } from '../scheduler.js'
import { crash, createFakeServer, stepServer, submit, type FakeRun, type FakeServer } from './fakeServers.js'

const STEP_MS = 5
const REPORT_EVERY_MS = 500
const REPORT_LATE_MS = 300
const START = 1_000_000
export const MODEL = 'model'

/** What one caller received. */
export interface Received {
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
  now = START
  readonly received: Received[] = []
  readonly servers: FakeServer[]
  readonly schedulers: Scheduler[]
  readonly random: SeededRandom
  /** Fingerprints that crash each server that begins to run them. */
  readonly poison = new Set<string>()
  private readonly byId = new Map<string, { received: Received, answerTokens: number, scheduler: Scheduler }>()
  private readonly lateReports: Array<{ at: number, deliver: () => void }> = []

  private constructor (readonly options: CallersOptions) {
    const configuration = createTestConfiguration(options)
    this.servers = Object.keys(configuration.servers).map(createFakeServer)
    this.random = SeededRandom.create(options.seed ?? 1)
    this.schedulers = Array.from({ length: options.instances ?? 1 }, (_, index) => {
      const scheduler = Scheduler.create({ random: SeededRandom.create((options.seed ?? 1) * 100 + index), failureDomain: `domain-${index % 3 + 1}` })
      scheduler.configure(configuration, this.now)
      scheduler.observeInstances(options.instances ?? 1, index)
      return scheduler
    })
  }

  static create (options: CallersOptions = {}): Callers {
    return new Callers(options)
  }

  call (call: Call, instance = this.random.below(this.schedulers.length)): Received {
    const scheduler = this.schedulers[instance] as Scheduler
    const job = this.createJob(call)
    const received: Received = { job, state: 'open', firstTokenMs: Infinity, endMs: Infinity, sends: 0, cachedTokens: 0, failure: undefined, servers: [] }
    this.received.push(received)
    this.byId.set(job.id, { received, answerTokens: call.answerTokens ?? 16, scheduler })
    scheduler.offer(job, this.now).ifLeft(failure => this.end(received, 'refused', failure))
    return received
  }

  private createJob (call: Call): Job {
    const id = `job-${this.received.length}`
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

  /** Moves time on; `each` is called at every step, to bring arrivals. */
  run (milliseconds: number, each: () => void = () => {}): void {
    for (const until = this.now + milliseconds; this.now < until; this.now += STEP_MS) {
      each()
      this.schedulers.forEach(scheduler => this.tick(scheduler))
      this.servers.forEach(server => this.stepOne(server))
      this.report()
    }
  }

  /** Open-loop arrivals at a rate, drawn from the seed. */
  arrive (requestsPerSecond: number, call: () => Call): () => void {
    return () => {
      for (let chance = requestsPerSecond * STEP_MS / 1000; this.random.next() < chance; chance -= 1) {
        this.call(call())
      }
    }
  }

  /** The server loses what runs there; callers' jobs fail as the router would say. */
  crash (server: FakeServer): void {
    for (const run of crash(server)) {
      this.fail(run.job, Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'crashed'))
    }
  }

  private tick (scheduler: Scheduler): void {
    const { assignments, refusals } = scheduler.tick(this.now)
    for (const { jobId, failure } of refusals) {
      this.end(this.find(jobId), 'refused', failure)
    }
    for (const { jobId, server: name } of assignments) {
      const server = this.servers.find(server => server.name === name) as FakeServer
      const received = this.find(jobId)
      received.sends += 1
      received.servers.push(name)
      if (server.down) {
        this.fail(received.job, Failure.notRun(FailureCode.ConnectionRefused, 'down'))
      } else {
        submit(server, received.job, this.byId.get(jobId)?.answerTokens ?? 16)
      }
    }
  }

  private stepOne (server: FakeServer): void {
    if (server.running.some(({ job }) => this.poison.has(job.fingerprint))) {
      this.crash(server)
    }
    stepServer(server, STEP_MS, this.now, {
      started: run => this.schedulerOf(run).started(run.job.id, { ...this.counts(run), streamId: '', incarnation: `${server.name}-${server.incarnation}`, weightsVersion: 'v1' }, this.now),
      firstToken: run => {
        const received = this.find(run.job.id)
        received.firstTokenMs = this.now - run.job.arrivedAt
        received.cachedTokens = run.cachedTokens
        this.schedulerOf(run).firstToken(run.job.id, this.now)
      },
      finished: run => {
        this.schedulerOf(run).finished(run.job.id, { ...this.counts(run), finishReason: 'stop', completionTokens: this.byId.get(run.job.id)?.answerTokens ?? 0 }, this.now)
        this.end(this.find(run.job.id), 'answered')
      }
    })
  }

  private counts ({ job, cachedTokens }: FakeRun): { promptTokens: number, cachedTokens: number } {
    return { promptTokens: job.promptTokens, cachedTokens }
  }

  private report (): void {
    if (this.now % REPORT_EVERY_MS === 0) {
      this.servers.filter(({ down }) => !down).forEach(server => this.reportOne(server))
    }
    while (this.lateReports[0] && this.lateReports[0].at <= this.now) {
      this.lateReports.shift()?.deliver()
    }
  }

  private reportOne (server: FakeServer): void {
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
    this.lateReports.push({ at: this.now + REPORT_LATE_MS, deliver: () => this.schedulers.forEach(scheduler => scheduler.observeLoad(server.name, report, this.now)) })
  }

  private fail (job: Job, failure: Failure): void {
    const { received, scheduler } = this.byId.get(job.id) as { received: Received, scheduler: Scheduler }
    if (scheduler.failed(job.id, failure, this.now) === Sequel.GivenUp) {
      this.end(received, 'failed', failure)
    }
  }

  private end (received: Received, state: Received['state'], failure?: Failure): void {
    received.state = state
    received.failure = failure
    received.endMs = this.now - received.job.arrivedAt
  }

  private find (jobId: string): Received {
    return this.byId.get(jobId)?.received as Received
  }

  private schedulerOf ({ job }: FakeRun): Scheduler {
    return this.byId.get(job.id)?.scheduler as Scheduler
  }
}

/** The value below which the share of the answered callers' first tokens came, milliseconds. */
export function quantile (received: readonly Received[], share: number): number {
  const times = received.filter(({ state }) => state === 'answered').map(({ firstTokenMs }) => firstTokenMs).sort((one, other) => one - other)
  return times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? Infinity
}

export function answered (received: readonly Received[]): Received[] {
  return received.filter(({ state }) => state === 'answered')
}
