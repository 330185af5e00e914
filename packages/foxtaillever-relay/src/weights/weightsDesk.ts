/**
 * Brings the engines to the weights that operators name: newest only, a few at
 * once, by one instance at a time. What comes next is decided by the policy;
 * this keeps the state that it looks at and carries out its steps. The others
 * are told before an order leaves, so that the engine gets no request that it
 * would turn away, and told again when it has the weights.
 */
import { waitUntil } from 'foxtaillever-core'
import { planRollout, RolloutPhase, type RolloutEngine } from 'foxtaillever-policy/relay/planRollout'
import { ServerState } from '../model/listedServer.js'
import type { CurrentEngines, NamedWeightsUpdate, WeightsUpdate } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import { canBeChanged, EngineChange } from './engineChange.js'
import { NamedWeights } from './namedWeights.js'
import type { WeightsDeskOptions } from './weightsDeskOptions.js'

/** Between two looks while engines lack weights, milliseconds. */
const LOOK_MS = 50

/** How long the others keep work away from an engine after a word; it is repeated in time, and ends soon after a holder's death, milliseconds. */
const STEERED_MS = 2500

/** The word is repeated when less is left, milliseconds. */
const TELL_AGAIN_MS = 800

/** Each instance waits this much longer than the one before it for the lease to be taken, milliseconds. */
const TURN_MS = 700

/** Beats name engines with the newest weights for so long after these were named; the next are often named by then, milliseconds. */
const TOLD_MS = 6000

export class WeightsDesk {
  private readonly named = NamedWeights.create()
  /** Changes that this instance carries out, by the engine's id. */
  private readonly changes = new Map<string, EngineChange>()
  /** Not told yet; the newest word about each engine counts. */
  private readonly untold = new Map<string, WeightsUpdate>()
  /** When something last went forward, here or elsewhere, milliseconds of Unix time. */
  private progressAt = 0
  private isRunning = false
  private isStopped = false

  private constructor (private readonly options: WeightsDeskOptions) {}

  static create (options: WeightsDeskOptions): WeightsDesk {
    return new WeightsDesk(options)
  }

  /**
   * Operators named weights; older ones than are known are no news.
   * @param isAssumed they were found in the store at the start
   */
  name (model: string, version: number, isAssumed = false): boolean {
    const now = this.options.clock.now()
    if (this.named.name(model, version, now, isAssumed)) {
      this.progressAt = now
      this.options.log.belief('Weights were named.', { model, version, found: isAssumed ? 'at the start' : 'as news' })
      this.run()
    }
    return version === this.wanted(model)
  }

  /** Since when there have been newer weights than the version, milliseconds of Unix time; undefined when there are none. */
  outdatedSince (model: string, version: number): number | undefined {
    return this.named.outdatedSince(model, version)
  }

  /** Since when which weights are known, to tell the others. */
  ages (): NamedWeightsUpdate[] {
    return this.named.ages(this.options.clock.now())
  }

  /** What another instance knows of named weights; it may have heard of them first. */
  observeNamed (news: NamedWeightsUpdate): void {
    if (this.named.observe(news, this.options.clock.now())) {
      this.run()
    }
  }

  /** What the one who gives orders tells. */
  observe ({ server, model, version, changingMs }: WeightsUpdate): void {
    const { clock, directory } = this.options
    const now = clock.now()
    this.progressAt = now
    const engine = directory.ofHash(server)
    if (engine && changingMs === 0) {
      directory.observeWeights(engine, model, version)
    } else if (engine && (engine.weights.get(model) ?? 0) < version) {
      engine.changingUntil = now + changingMs
      engine.changingTo = { model, version }
    }
  }

  /**
   * A server refused a request since it is not what it was thought to be.
   * @param expected weights that it does not have, though it is the server meant; versions
   * only rise, so it has those named next at least. Undefined when nothing is known.
   */
  observeRefusal (server: KnownServer, model: string | undefined, expected: number | undefined): void {
    const next = model === undefined || expected === undefined ? undefined : this.named.next(model, expected)
    if (model !== undefined && next !== undefined) {
      this.options.directory.observeWeights(server, model, next.version)
    }
    this.run()
  }

  /** For each model, engines that have its newest weights while these are young: whoever missed a word of them hears it from anyone. */
  current (): CurrentEngines[] {
    const now = this.options.clock.now()
    return this.named.models.flatMap(model => {
      const newest = this.named.newest(model)
      const isTold = newest !== undefined && now < newest.since + TOLD_MS
      const engines = isTold ? this.enginesOf(model).filter(engine => engine.weights.get(model) === newest.version) : []
      return newest === undefined || engines.length === 0 ? [] : [{ model, version: newest.version, engines: engines.map(({ hash }) => hash) }]
    })
  }

  observeCurrent ({ model, version, engines }: CurrentEngines): void {
    const hashes = new Set(engines)
    this.enginesOf(model)
      .filter(engine => (engine.weights.get(model) ?? 0) < version && hashes.has(engine.hash))
      .forEach(engine => this.options.directory.observeWeights(engine, model, version))
  }

  /** For good: what is learned during a shutdown starts nothing, and another may give the orders. */
  stop (): void {
    this.isStopped = true
    this.options.lease.release()
  }

  /** Looks again, as after a server came or its weights were found to differ. */
  run (): void {
    if (!this.isRunning && !this.isStopped) {
      this.isRunning = true
      this.watch(this.lookOn())
    }
  }

  private async lookOn (): Promise<void> {
    const { clock } = this.options
    while (!this.isStopped && this.outdatedModels().length > 0) {
      await this.look()
      await waitUntil(clock, clock.now() + LOOK_MS)
    }
    this.isRunning = false
    this.changes.clear()
    this.tellAll()
  }

  /** A failure of our own must neither end the process nor pass unseen. */
  private watch (work: Promise<void>): void {
    work.catch((error: unknown) => this.options.log.trouble('Changing weights failed.', { reason: String(error) }))
  }

  private outdatedModels (): string[] {
    return this.named.models.filter(model => this.enginesOf(model).some(engine => !this.hasWanted(engine, model)))
  }

  private enginesOf (model: string): KnownServer[] {
    const { clock, directory } = this.options
    const now = clock.now()
    return directory.all().filter(({ listed, weights, displacedUntil }) => listed.state === ServerState.Ready && displacedUntil <= now && weights.has(model) && directory.isServed(listed.service))
  }

  private wanted (model: string): number {
    return this.named.newest(model)?.version ?? 0
  }

  private hasWanted (engine: KnownServer, model: string): boolean {
    return (engine.weights.get(model) ?? 0) >= this.wanted(model)
  }

  private async look (): Promise<void> {
    const { clock, lease, rank } = this.options
    const isMyTurn = lease.fence() !== undefined || clock.now() >= this.progressAt + rank() * TURN_MS
    if (!isMyTurn || !await lease.take()) {
      this.forgetUnlessRenewing()
      return
    }
    this.outdatedModels().forEach(model => this.advance(model))
    this.tellAll()
  }

  /** Another may give orders now. */
  private forgetUnlessRenewing (): void {
    if (!this.options.lease.isRenewing) {
      this.changes.clear()
    }
  }

  /** One word for many engines: a word for each to each instance would fill the link of a small machine for seconds. */
  private tellAll (): void {
    if (this.untold.size > 0) {
      this.options.tell([...this.untold.values()])
      this.untold.clear()
    }
  }

  private advance (model: string): void {
    const now = this.options.clock.now()
    const engines = this.enginesOf(model)
    this.forgetAllBut(engines)
    const { steer, order } = planRollout(engines.filter(engine => canBeChanged(engine, this.changes.get(engine.listed.id), now)).map(engine => this.toRolloutEngine(engine, model)))
    steer.forEach(id => this.steer(id, model))
    order.forEach(id => this.order(id, model))
    for (const engine of engines) {
      const change = this.changes.get(engine.listed.id)
      if (change) {
        this.keepSteered(engine, model)
        this.watch(change.look())
      }
    }
  }

  /** An engine that left, started again or was found to have the weights is no longer changed here. */
  private forgetAllBut (engines: readonly KnownServer[]): void {
    const kept = new Set(engines)
    for (const [id, { engine }] of this.changes) {
      if (!kept.has(engine)) {
        this.changes.delete(id)
      }
    }
  }

  private toRolloutEngine (engine: KnownServer, model: string): RolloutEngine {
    const { clock, outstandingAt, waitMsAt } = this.options
    const now = clock.now()
    const { id, slots } = engine.listed
    const change = this.changes.get(id)
    return {
      id,
      slots,
      hasWanted: this.hasWanted(engine, model),
      phase: change?.phase ?? RolloutPhase.Serving,
      steeredMs: change ? now - change.steeredAt : 0,
      orderedMs: change?.orderedAt === undefined ? 0 : now - change.orderedAt,
      outdatedMs: now - (this.outdatedSince(model, engine.weights.get(model) ?? 0) ?? now),
      work: change?.running ?? outstandingAt(engine),
      waitMs: waitMsAt(engine)
    }
  }

  private steer (id: string, model: string): void {
    const { clock, directory, holder, orders, log, lease } = this.options
    const engine = directory.get(id)
    if (engine) {
      const onWeights = (version: number): void => this.onWeights(engine, model, version)
      this.changes.set(id, EngineChange.create({
        clock,
        engine,
        model,
        holder,
        orders,
        log,
        onWeights,
        onFenced: () => lease.drop(),
        onDisplaced: () => directory.experience.observeDisplaced(engine, clock.now()),
        isSameStart: startedAt => directory.observeStart(engine, startedAt)
      }))
    }
  }

  /** The lease is looked at last of all: an order must not leave after its term. */
  private order (id: string, model: string): void {
    const fence = this.options.lease.fence()
    const change = this.changes.get(id)
    if (change && fence !== undefined) {
      this.watch(change.order({ version: this.wanted(model), fence }))
    }
  }

  private keepSteered (engine: KnownServer, model: string): void {
    const now = this.options.clock.now()
    if (engine.changingUntil < now + TELL_AGAIN_MS) {
      const version = this.wanted(model)
      engine.changingUntil = now + STEERED_MS
      engine.changingTo = { model, version }
      this.progressAt = now
      this.untold.set(engine.listed.id, { server: engine.hash, model, version, changingMs: STEERED_MS })
    }
  }

  private onWeights (engine: KnownServer, model: string, version: number): void {
    const { directory, clock } = this.options
    const { id } = engine.listed
    const isNews = version > (engine.weights.get(model) ?? -1)
    directory.observeWeights(engine, model, version)
    if (isNews || this.hasWanted(engine, model)) {
      this.progressAt = clock.now()
      this.untold.set(id, { server: engine.hash, model, version, changingMs: 0 })
    }
    // Were newer weights named meanwhile, it is steered anew for them in its turn.
    if (this.hasWanted(engine, model) || this.changes.get(id)?.hasCarriedOut(version) === true) {
      this.changes.delete(id)
    }
  }
}
