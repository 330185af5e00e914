/**
 * A small deployment under one virtual clock: a log, engines, entry instances
 * and callers, with every fault of the brief as a method. Everything random is
 * drawn from the seed.
 */
import { FailureCode, ListedKind, ListedState, PresetName, RecordKind, SeededRandom, type Engine, type StreamEnd } from 'foxtaillever-core'
import { ChangeKind } from 'foxtaillever-fleet'
import { allSafeguards, type Responder, type Safeguards, type StreamPosition, type Submission } from 'foxtaillever-router'
import { InstanceListModel, LogModel } from 'foxtaillever-standins'
import { VirtualClock } from 'foxtaillever-testing/virtualClock'
import { LAST_WORD_MS, Oracle, Promised, type Sending } from '../oracle/oracle.js'
import { createFirstChanges } from './deploymentOf.js'
import { EngineHost } from './engineHost.js'
import { EnginePort } from './enginePort.js'
import { Entry } from './entry.js'
import type { HeldClock } from './heldClock.js'
import { OrderWatch } from './orderWatch.js'
import { createSubmission, type Wish } from './wish.js'

export interface WorldOptions {
  readonly seed: number
  readonly entries: number
  readonly engines: number
  readonly safeguards?: Safeguards
}

export const RETENTION_MS = 150_000
/** Clocks of instances run this slow at worst, and as much too fast; far worse than real ones. */
const SLOWEST_RATE = 0.93

const WARMING_DRAWS = 16

/** A caller that came back waits this long, milliseconds. */
const RECONNECT_MS = 5000

const LIST_LAG_MS = 1500
const APPENDS_PER_SECOND = 300

/** Lets what was accepted come to its end, milliseconds; longer than any deadline. */
const REST_MS = 12_000

/** A slow reader takes a token in this time, milliseconds. */
const SLOW_READ_MS = 40

export class World {
  readonly clock = VirtualClock.create(1_700_000_000_000)
  readonly oracle = Oracle.create()
  readonly log = LogModel.create({ retentionMs: RETENTION_MS, appendsPerSecond: APPENDS_PER_SECOND }, this.clock)
  readonly list = InstanceListModel.create(LIST_LAG_MS, this.clock)
  readonly entries: Entry[] = []
  readonly engines: EngineHost[] = []
  readonly positions: Array<{ sending: Sending, position: StreamPosition, submission: Submission }> = []
  /** True time at which the world began, milliseconds. */
  readonly startedAt = this.clock.now()
  private readonly random
  private readonly safeguards: Safeguards
  private readonly orders = OrderWatch.create(this.log, this.oracle)
  private started = 0
  private records = 0
  /** Refusals that an instance has heard: instance, engine and the engine's crashes so far. */
  private readonly heardLeaving = new Set<string>()

  private constructor (private readonly options: WorldOptions) {
    this.random = SeededRandom.create(options.seed)
    // The first draws of neighbouring seeds are alike.
    Array.from({ length: WARMING_DRAWS }, () => this.random.next())
    this.safeguards = options.safeguards ?? allSafeguards
  }

  static async create (options: WorldOptions): Promise<World> {
    const world = new World(options)
    world.addEngines()
    world.log.append({ id: 'first', kind: RecordKind.Configuration, writtenAt: world.clock.now(), body: { base: 0, author: 'operator', changes: createFirstChanges(world.engines.map(({ options: { name } }) => name)) } })
    for (let index = 0; index < options.entries; index++) {
      world.entries.push(world.createEntry(index))
    }
    await world.pass(100)
    return world
  }

  private addEngines (): void {
    for (let index = 0; index < this.options.engines; index++) {
      const name = `engine-${index}`
      this.list.setInstance({ name, kind: ListedKind.BackendServer, address: name, failureDomain: 'recife', state: ListedState.Live })
      this.engines.push(EngineHost.create({
        name, models: ['order-language'], weightsVersion: 'v1', slots: 4, prefillTokensPerSecond: 20_000, decodeTokensPerSecond: 20, cacheTokens: 4096, cacheKeptMs: 10_000
      }, this.clock, run => this.oracle.ran(run)))
    }
  }

  private createEntry (index: number): Entry {
    const name = `entry-${index}`
    const entry = Entry.create({
      name,
      incarnation: `${name}/${this.started++}`,
      seed: this.random.below(2 ** 31),
      world: this.clock,
      logModel: this.log,
      clockError: { offsetMs: this.random.below(4000) - 2000, rate: SLOWEST_RATE + this.random.next() * 2 * (1 - SLOWEST_RATE) },
      safeguards: this.safeguards,
      engineOf: (engine, clock) => this.connect(name, engine, clock),
      listOf: () => this.list.list(),
      engines: this.engines.map(engine => engine.options.name),
      copies: () => this.entries.filter(entry => !entry.isDead && !entry.isPaused).map(({ store }) => store.current()),
      retentionMs: RETENTION_MS,
      onOrder: fence => this.orders.check(name, fence)
    })
    entry.start()
    return entry
  }

  private connect (entry: string, engine: string, clock: HeldClock): Engine {
    const host = this.engines.find(({ options }) => options.name === engine)
    if (!host) {
      throw new Error(`No engine ${engine}.`)
    }
    return EnginePort.create(host, this.clock, clock, {
      refused: (name, crashes, failure) => {
        if (failure.code === FailureCode.Leaving) {
          this.heardLeaving.add(`${entry} ${name} ${crashes}`)
        }
      },
      called: (name, crashes) => this.oracle.expect(Promised.OwnWordAtOnce, !this.heardLeaving.has(`${entry} ${name} ${crashes}`), () => `${entry} sent to ${name}`)
    })
  }

  async pass (milliseconds: number): Promise<void> {
    await this.clock.advanceBy(milliseconds)
    this.oracle.checkDeadlines(this.clock.now(), name => this.wasPaused(name))
  }

  /** Paused now, or awake for so short a time that its answers may still come. */
  private wasPaused (name: string): boolean {
    const entry = this.entries.find(({ options }) => options.name === name)
    return entry !== undefined && (entry.isPaused || entry.wokenAt + LAST_WORD_MS > this.clock.now())
  }

  send (wish: Wish): void {
    const entry = this.entries[wish.entry]
    if (!entry || entry.isDead) {
      return
    }
    const id = `request-${this.oracle.sendings.length}`
    const prompt = `Feed order ${wish.prompt} for ${wish.account} `.repeat(8)
    const sending: Sending = {
      id,
      account: wish.account,
      idempotencyKey: wish.idempotencyKey ?? '',
      prompt,
      tokens: wish.tokens,
      entry: entry.options.name,
      deadline: this.clock.now() + wish.timeoutMs / SLOWEST_RATE,
      received: [],
      lastWords: 0,
      failure: undefined,
      isWhole: false,
      isExcused: false
    }
    this.oracle.sendings.push(sending)
    const submission = createSubmission(sending, wish, entry.clock.now())
    const responder = this.createResponder(sending, submission, entry, wish.isSlowReader)
    entry.clock.atWorld(this.clock.now() + 1, () => entry.core.submit(submission, responder))
  }

  private createResponder (sending: Sending, submission: Submission, entry: Entry, isSlowReader: boolean): Responder {
    return {
      started: (_start, position) => { this.positions.push({ sending, submission, position }) },
      moved: position => { this.positions.push({ sending, submission, position }) },
      token: (sequence, data) => {
        this.oracle.token(sending, sequence, data)
        if (isSlowReader) {
          entry.clock.at(entry.clock.now() + SLOW_READ_MS, () => entry.core.resumeReading(submission.job.id))
        }
        return !isSlowReader
      },
      finished: (end: StreamEnd) => this.oracle.finished(sending, end),
      failed: failure => this.oracle.failed(sending, failure)
    }
  }

  abandon (index: number): void {
    const sending = this.oracle.sendings[index]
    const entry = this.entries.find(({ options }) => options.name === sending?.entry)
    if (sending && entry && sending.lastWords === 0) {
      sending.isExcused = true
      entry.core.abandon(sending.id)
    }
  }

  /** A caller whose instance died takes its stream up through another one. */
  reconnect (index: number, through: number): void {
    const lost = this.positions[index]
    const entry = this.entries[through]
    if (!lost || !entry || entry.isDead || !lost.sending.isExcused || lost.sending.lastWords > 0) {
      return
    }
    const { sending, submission, position } = lost
    const id = `${sending.id}~${this.started++}`
    const job = { ...submission.job, id, idempotent: false, deadline: entry.clock.now() + RECONNECT_MS }
    const again = { ...submission, job }
    sending.isExcused = false
    sending.entry = entry.options.name
    sending.deadline = this.clock.now() + RECONNECT_MS / SLOWEST_RATE
    entry.core.resumeStream(again, { ...position, after: sending.received.length }, this.createResponder(sending, again, entry, false))
  }

  crashEntry (index: number): void {
    const entry = this.entries[index]
    if (entry && !entry.isDead) {
      entry.kill()
      this.excuse(entry.options.name)
    }
  }

  /** Its callers see their connections break; nothing more is owed to them. */
  private excuse (name: string): void {
    this.oracle.sendings
      .filter(sending => sending.entry === name && sending.lastWords === 0)
      .forEach(sending => { sending.isExcused = true })
    // A restarted instance has forgotten who refused it.
    const forgotten = [...this.heardLeaving].filter(heard => heard.startsWith(`${name} `))
    forgotten.forEach(heard => this.heardLeaving.delete(heard))
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

  /** The holder of the lease loses the log but still reaches the backend servers. */
  async cutHolder (milliseconds: number): Promise<void> {
    const holder = this.entries.find(entry => !entry.isDead && entry.holder.isHeld())
    if (holder) {
      holder.log.isPartitioned = true
      await this.pass(milliseconds)
      holder.log.isPartitioned = false
    }
  }

  /** Two operators switch the preset at once, each from the revision it saw. */
  raceOperators (base: number, first: PresetName, second: PresetName): void {
    [first, second].forEach((name, author) => {
      const body = { base, author: `operator-${author}`, changes: [{ kind: ChangeKind.SwitchPreset, name }] }
      this.log.append({ id: `race-${this.records++}`, kind: RecordKind.Configuration, writtenAt: this.clock.now(), body })
    })
  }

  /** Ends all faults, lets everything come to rest and asks the last questions. */
  async rest (): Promise<void> {
    this.log.setFaults({ outage: false, slownessMs: 0, lostAnswers: 0 })
    this.engines.forEach(engine => engine.setDown(false))
    this.entries.forEach((entry, index) => {
      entry.log.isPartitioned = false
      if (entry.isDead) {
        this.restartEntry(index)
      } else if (entry.isPaused) {
        entry.wake()
      }
    })
    await this.pass(REST_MS)
    this.oracle.checkNotRun()
    const revisions = new Set(this.entries.map(({ store }) => store.configuration().revision))
    this.oracle.expect(Promised.SameConfiguration, revisions.size === 1, () => [...revisions].join(', '))
    this.entries.forEach(entry => entry.kill())
  }
}

export const presetNames = Object.values(PresetName)
