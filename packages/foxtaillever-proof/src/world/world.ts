/**
 * A small deployment under one virtual clock: a log, engines, entry instances
 * and callers, with a method for each fault. Everything random is drawn from
 * the seed.
 */
import { FailureCode, ListedKind, ListedState, PresetName, RecordKind, SeededRandom, type Engine, type StreamEnd } from 'foxtaillever-core'
import { ChangeKind } from 'foxtaillever-fleet'
import { allSafeguards, type Responder, type Safeguards, type StreamPosition, type Submission } from 'foxtaillever-router'
import { InstanceListModel, LogModel } from 'foxtaillever-standins'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { FINAL_EVENT_GRACE_MS, Oracle, OraclePromise, type SentRequest } from '../oracle/oracle.js'
import { createFirstChanges } from './createFirstChanges.js'
import { EngineHost } from './engineHost.js'
import { EnginePort } from './enginePort.js'
import { Entry } from './entry.js'
import type { PausableClock } from './pausableClock.js'
import { OrderMonitor } from './orderMonitor.js'
import { createSubmission, type CallerRequest } from './callerRequest.js'

export interface WorldOptions {
  readonly seed: number
  readonly entries: number
  readonly engines: number
  readonly safeguards?: Safeguards
}

export const RETENTION_MS = 150_000
/** Rate of the slowest clock of an instance; the fastest is as much too fast. Real clocks are far more accurate. */
const MIN_CLOCK_RATE = 0.93

const WARM_UP_DRAWS = 16

/** How long a caller waits for its answer after a reconnect, milliseconds. */
const RECONNECT_TIMEOUT_MS = 5000

const LIST_LAG_MS = 1500
const APPENDS_PER_SECOND = 300

/** How long the world waits for accepted requests to end, milliseconds; longer than any deadline. */
const FINAL_WAIT_MS = 12_000

/** How long a slow reader takes to read a token, milliseconds. */
const SLOW_READ_INTERVAL_MS = 40

export class World {
  readonly clock = VirtualClock.create(1_700_000_000_000)
  readonly oracle = Oracle.create()
  readonly log = LogModel.create({ retentionMs: RETENTION_MS, appendsPerSecond: APPENDS_PER_SECOND }, this.clock)
  readonly list = InstanceListModel.create(LIST_LAG_MS, this.clock)
  readonly entries: Entry[] = []
  readonly engines: EngineHost[] = []
  readonly positions: Array<{ sentRequest: SentRequest, position: StreamPosition, submission: Submission }> = []
  /** True time at which the world began, milliseconds. */
  readonly startedAt = this.clock.now()
  private readonly random
  private readonly safeguards: Safeguards
  private readonly orderMonitor = OrderMonitor.create(this.log, this.oracle)
  private nextNumber = 0
  private raceCount = 0
  /** Refusals by leaving engines that instances received: instance, engine, and number of crashes of the engine. */
  private readonly knownLeaving = new Set<string>()

  private constructor (private readonly options: WorldOptions) {
    this.random = SeededRandom.create(options.seed)
    // Skips the first draws, because they are alike for neighbouring seeds.
    Array.from({ length: WARM_UP_DRAWS }, () => this.random.next())
    this.safeguards = options.safeguards ?? allSafeguards
  }

  static async create (options: WorldOptions): Promise<World> {
    const world = new World(options)
    world.addEngines()
    world.log.append({ id: 'first', kind: RecordKind.Configuration, writtenAt: world.clock.now(), body: { base: 0, author: 'operator', changes: createFirstChanges(world.engines.map(({ options: { name } }) => name)) } })
    for (let index = 0; index < options.entries; index++) {
      world.entries.push(world.createEntry(index))
    }
    await world.advanceBy(100)
    return world
  }

  private addEngines (): void {
    for (let index = 0; index < this.options.engines; index++) {
      const name = `engine-${index}`
      this.list.setInstance({ name, kind: ListedKind.BackendServer, address: name, failureDomain: 'recife', state: ListedState.Live })
      this.engines.push(EngineHost.create({
        name, models: ['order-language'], weightsVersion: 'v1', slots: 4, prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 20, cacheTokens: 4096, cacheKeptMs: 10_000
      }, this.clock, run => this.oracle.recordRun(run)))
    }
  }

  private createEntry (index: number): Entry {
    const name = `entry-${index}`
    const entry = Entry.create({
      name,
      incarnation: `${name}/${this.nextNumber++}`,
      seed: this.random.below(2 ** 31),
      world: this.clock,
      logModel: this.log,
      clockError: { offsetMs: this.random.below(4000) - 2000, rate: MIN_CLOCK_RATE + this.random.next() * 2 * (1 - MIN_CLOCK_RATE) },
      safeguards: this.safeguards,
      engineOf: (engine, clock) => this.connect(name, engine, clock),
      listOf: () => this.list.list(),
      engines: this.engines.map(engine => engine.options.name),
      peerConfigurations: () => this.entries.filter(entry => !entry.isDead && !entry.isPaused).map(({ store }) => store.current()),
      retentionMs: RETENTION_MS,
      onOrder: fence => this.orderMonitor.check(name, fence)
    })
    entry.start()
    return entry
  }

  private connect (entry: string, engine: string, clock: PausableClock): Engine {
    const host = this.engines.find(({ options }) => options.name === engine)
    if (!host) {
      throw new Error(`No engine ${engine}.`)
    }
    return EnginePort.create(host, this.clock, clock, {
      onRefusal: (name, crashes, failure) => {
        if (failure.code === FailureCode.Leaving) {
          this.knownLeaving.add(`${entry} ${name} ${crashes}`)
        }
      },
      onCall: (name, crashes) => this.oracle.expect(OraclePromise.OwnStatementAtOnce, !this.knownLeaving.has(`${entry} ${name} ${crashes}`), () => `${entry} sent to ${name}`)
    })
  }

  async advanceBy (milliseconds: number): Promise<void> {
    await this.clock.advanceBy(milliseconds)
    this.oracle.checkDeadlines(this.clock.now(), name => this.wasPaused(name))
  }

  /** Whether an instance is paused, or was resumed so recently that its answers may still come. */
  private wasPaused (name: string): boolean {
    const entry = this.entries.find(({ options }) => options.name === name)
    return entry !== undefined && (entry.isPaused || entry.resumedAt + FINAL_EVENT_GRACE_MS > this.clock.now())
  }

  send (callerRequest: CallerRequest): void {
    const entry = this.entries[callerRequest.entry]
    if (!entry || entry.isDead) {
      return
    }
    const id = `request-${this.oracle.sentRequests.length}`
    const prompt = `Feed order ${callerRequest.prompt} for ${callerRequest.account} `.repeat(8)
    const sentRequest: SentRequest = {
      id,
      account: callerRequest.account,
      idempotencyKey: callerRequest.idempotencyKey ?? '',
      prompt,
      tokens: callerRequest.tokens,
      entry: entry.options.name,
      deadline: this.clock.now() + callerRequest.timeoutMs / MIN_CLOCK_RATE,
      received: [],
      finalEvents: 0,
      failure: undefined,
      isWhole: false,
      isExcused: false
    }
    this.oracle.sentRequests.push(sentRequest)
    const submission = createSubmission(sentRequest, callerRequest, entry.clock.now())
    const responder = this.createResponder(sentRequest, submission, entry, callerRequest.isSlowReader)
    entry.clock.atTrueTime(this.clock.now() + 1, () => entry.core.submit(submission, responder))
  }

  private createResponder (sentRequest: SentRequest, submission: Submission, entry: Entry, isSlowReader: boolean): Responder {
    return {
      started: (_start, position) => { this.positions.push({ sentRequest, submission, position }) },
      moved: position => { this.positions.push({ sentRequest, submission, position }) },
      token: (sequence, data) => {
        this.oracle.checkToken(sentRequest, sequence, data)
        if (isSlowReader) {
          entry.clock.at(entry.clock.now() + SLOW_READ_INTERVAL_MS, () => entry.core.resumeReading(submission.job.id))
        }
        return !isSlowReader
      },
      finished: (end: StreamEnd) => this.oracle.recordFinish(sentRequest, end),
      failed: failure => this.oracle.recordFailure(sentRequest, failure)
    }
  }

  abandon (index: number): void {
    const sentRequest = this.oracle.sentRequests[index]
    const entry = this.entries.find(({ options }) => options.name === sentRequest?.entry)
    if (sentRequest && entry && sentRequest.finalEvents === 0) {
      sentRequest.isExcused = true
      entry.core.abandon(sentRequest.id)
    }
  }

  /** A caller whose instance died resumes its stream through another instance. */
  reconnect (index: number, entryIndex: number): void {
    const lostStream = this.positions[index]
    const entry = this.entries[entryIndex]
    if (!lostStream || !entry || entry.isDead || !lostStream.sentRequest.isExcused || lostStream.sentRequest.finalEvents > 0) {
      return
    }
    const { sentRequest, submission, position } = lostStream
    const id = `${sentRequest.id}~${this.nextNumber++}`
    const job = { ...submission.job, id, idempotent: false, deadline: entry.clock.now() + RECONNECT_TIMEOUT_MS }
    const reconnection = { ...submission, job }
    sentRequest.isExcused = false
    sentRequest.entry = entry.options.name
    sentRequest.deadline = this.clock.now() + RECONNECT_TIMEOUT_MS / MIN_CLOCK_RATE
    entry.core.resumeStream(reconnection, { ...position, after: sentRequest.received.length }, this.createResponder(sentRequest, reconnection, entry, false))
  }

  crashEntry (index: number): void {
    const entry = this.entries[index]
    if (entry && !entry.isDead) {
      entry.kill()
      this.excuseCallers(entry.options.name)
    }
  }

  /** The instance's callers lose their connections; the oracle expects no more answers for them. */
  private excuseCallers (name: string): void {
    this.oracle.sentRequests
      .filter(sentRequest => sentRequest.entry === name && sentRequest.finalEvents === 0)
      .forEach(sentRequest => { sentRequest.isExcused = true })
    // A restarted instance doesn't know which engines refused its requests before.
    const forgottenRefusals = [...this.knownLeaving].filter(refusal => refusal.startsWith(`${name} `))
    forgottenRefusals.forEach(refusal => this.knownLeaving.delete(refusal))
  }

  restartEntry (index: number): void {
    this.crashEntry(index)
    this.entries[index] = this.createEntry(index)
  }

  crashEngine (index: number, weightsVersion?: string): void {
    const engine = this.engines[index]
    if (engine) {
      engine.crash(weightsVersion)
      this.list.setInstance({ name: engine.options.name, kind: ListedKind.BackendServer, address: engine.options.name, failureDomain: 'recife', state: ListedState.Live })
    }
  }

  leaveEngine (index: number): void {
    const engine = this.engines[index]
    if (engine) {
      engine.leave()
      this.list.setInstance({ name: engine.options.name, kind: ListedKind.BackendServer, address: engine.options.name, failureDomain: 'recife', state: ListedState.Leaving })
    }
  }

  /** Cuts the lease holder off from the log; it still reaches the backend servers. */
  async partitionHolder (milliseconds: number): Promise<void> {
    const holder = this.entries.find(entry => !entry.isDead && entry.holder.isHeld())
    if (holder) {
      holder.log.isPartitioned = true
      await this.advanceBy(milliseconds)
      holder.log.isPartitioned = false
    }
  }

  /** Two operators switch the preset at once, each from the revision it saw. */
  raceOperators (base: number, first: PresetName, second: PresetName): void {
    [first, second].forEach((name, author) => {
      const body = { base, author: `operator-${author}`, changes: [{ kind: ChangeKind.SwitchPreset, name }] }
      this.log.append({ id: `race-${this.raceCount++}`, kind: RecordKind.Configuration, writtenAt: this.clock.now(), body })
    })
  }

  /** Ends all faults, waits until all requests have ended and runs the final checks. */
  async endFaultsAndCheck (): Promise<void> {
    this.log.setFaults({ outage: false, slownessMs: 0, lostAnswers: 0 })
    this.engines.forEach(engine => engine.setDown(false))
    this.entries.forEach((entry, index) => {
      entry.log.isPartitioned = false
      if (entry.isDead) {
        this.restartEntry(index)
      } else if (entry.isPaused) {
        entry.resume()
      }
    })
    await this.advanceBy(FINAL_WAIT_MS)
    this.oracle.checkNotRun()
    const revisions = new Set(this.entries.map(({ store }) => store.configuration().revision))
    this.oracle.expect(OraclePromise.SameConfiguration, revisions.size === 1, () => [...revisions].join(', '))
    this.entries.forEach(entry => entry.kill())
  }
}

export const presetNames = Object.values(PresetName)
