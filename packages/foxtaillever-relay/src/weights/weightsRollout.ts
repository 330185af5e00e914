/**
 * Rolls out the weights that operators name to the engines: only the newest version,
 * to a few engines at once, by one instance at a time. The policy's `planRollout`
 * decides the next steps; this class keeps the state for it and carries out the steps.
 * Other instances get an update before an order is sent, so that the engine gets no
 * request that it would refuse, and another when the engine has the weights.
 */
import { waitUntil } from 'foxtaillever-core'
import { planRollout, RolloutPhase, type RolloutEngine } from 'foxtaillever-policy/relay/planRollout'
import { ServerState } from '../model/listedServer.js'
import type { CurrentEngines, NamedWeightsUpdate, WeightsUpdate } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import { canBeChanged, EngineChange } from './engineChange.js'
import { NamedWeights } from './namedWeights.js'
import type { WeightsRolloutOptions } from './weightsRolloutOptions.js'

/** Interval between two checks while engines lack weights, milliseconds. */
const CHECK_INTERVAL_MS = 50

/** How long other instances send no work to an engine after an update, milliseconds. Updates are repeated in time; after the holder's death the effect ends soon. */
const STEERED_MS = 2500

/** The update is repeated when less than this is left, milliseconds. */
const REANNOUNCE_BELOW_MS = 800

/** An instance waits this long per rank before it requests the lease, milliseconds. */
const RANK_DELAY_MS = 700

/** Heartbeats list the engines with the newest weights for this long after these were named, milliseconds; the next version is often named by then. */
const ANNOUNCED_MS = 6000

export class WeightsRollout {
  private readonly named = NamedWeights.create()
  /** Changes that this instance carries out, by the engine's id. */
  private readonly changes = new Map<string, EngineChange>()
  /** The latest update for each engine that has not been announced yet. */
  private readonly pendingUpdates = new Map<string, WeightsUpdate>()
  /** When the rollout last made progress, here or elsewhere, milliseconds of Unix time. */
  private progressAt = 0
  private isRunning = false
  private isStopped = false

  private constructor (private readonly options: WeightsRolloutOptions) {}

  static create (options: WeightsRolloutOptions): WeightsRollout {
    return new WeightsRollout(options)
  }

  /**
   * Adds a version that operators named and starts its rollout; known or older versions change nothing.
   * @param isAssumed the version was found in the store at the start
   */
  addVersion (model: string, version: number, isAssumed = false): void {
    const now = this.options.clock.now()
    if (this.named.addVersion(model, version, now, isAssumed)) {
      this.progressAt = now
      this.options.log.belief('Weights were named.', { model, version, found: isAssumed ? 'at the start' : 'as an update' })
      this.ensureRunning()
    }
  }

  /** When the version was replaced by a newer one, milliseconds of Unix time; undefined if it is the newest. */
  outdatedSince (model: string, version: number): number | undefined {
    return this.named.outdatedSince(model, version)
  }

  /** Ages of the known versions, to announce to other instances. */
  versionAges (): NamedWeightsUpdate[] {
    return this.named.versionAges(this.options.clock.now())
  }

  /** Applies a version announced by another instance, which may have learned of it first. */
  applyVersion (announced: NamedWeightsUpdate): void {
    if (this.named.mergeVersion(announced, this.options.clock.now())) {
      this.ensureRunning()
    }
  }

  /** Applies an update of the instance that gives orders. */
  applyUpdate ({ server, model, version, changingMs }: WeightsUpdate): void {
    const { clock, directory } = this.options
    const now = clock.now()
    this.progressAt = now
    const engine = directory.getByHash(server)
    if (engine && changingMs === 0) {
      directory.recordWeights(engine, model, version)
    } else if (engine && (engine.weights.get(model) ?? 0) < version) {
      engine.changingUntil = now + changingMs
      engine.changingTo = { model, version }
    }
  }

  /**
   * Handles a refusal by a server whose identity or weights were not as expected.
   * @param expected the version that the intended server does not have; versions only rise,
   * so it has at least the next named one. Undefined if nothing is known.
   */
  handleRefusal (server: KnownServer, model: string | undefined, expected: number | undefined): void {
    const next = model === undefined || expected === undefined ? undefined : this.named.next(model, expected)
    if (model !== undefined && next !== undefined) {
      this.options.directory.recordWeights(server, model, next.version)
    }
    this.ensureRunning()
  }

  /** For each model, the engines with its newest weights for some time after these were named: an instance that missed an update gets it from any other. */
  currentEngines (): CurrentEngines[] {
    const now = this.options.clock.now()
    return this.named.models.flatMap(model => {
      const newest = this.named.newest(model)
      const isAnnounced = newest !== undefined && now < newest.since + ANNOUNCED_MS
      const engines = isAnnounced ? this.enginesOf(model).filter(engine => engine.weights.get(model) === newest.version) : []
      return newest === undefined || engines.length === 0 ? [] : [{ model, version: newest.version, engines: engines.map(({ hash }) => hash) }]
    })
  }

  applyCurrentEngines ({ model, version, engines }: CurrentEngines): void {
    const hashes = new Set(engines)
    this.enginesOf(model)
      .filter(engine => (engine.weights.get(model) ?? 0) < version && hashes.has(engine.hash))
      .forEach(engine => this.options.directory.recordWeights(engine, model, version))
  }

  /** Stops permanently: updates during a shutdown start nothing, and another instance may give the orders. */
  stop (): void {
    this.isStopped = true
    this.options.lease.release()
  }

  /** Starts the checks unless they run, for example after a server was added or its weights were found to differ. */
  ensureRunning (): void {
    if (!this.isRunning && !this.isStopped) {
      this.isRunning = true
      this.checkUntilDone().catch((error: unknown) => {
        this.isRunning = false
        this.logFailure(error)
      })
    }
  }

  private async checkUntilDone (): Promise<void> {
    const { clock } = this.options
    while (!this.isStopped && this.outdatedModels().length > 0) {
      // Engines that lack weights are checked again whatever happens in one check.
      await this.check().catch(this.logFailure)
      await waitUntil(clock, clock.now() + CHECK_INTERVAL_MS)
    }
    this.isRunning = false
    this.changes.clear()
    this.announcePending()
  }

  private readonly logFailure = (error: unknown): void => {
    this.options.log.trouble('Changing weights failed.', { reason: String(error) })
  }

  private outdatedModels (): string[] {
    return this.named.models.filter(model => this.enginesOf(model).some(engine => !this.hasWantedVersion(engine, model)))
  }

  private enginesOf (model: string): KnownServer[] {
    const { clock, directory } = this.options
    const now = clock.now()
    return directory.all().filter(({ listed, weights, displacedUntil }) => listed.state === ServerState.Ready && displacedUntil <= now && weights.has(model) && directory.hasService(listed.service))
  }

  private wantedVersion (model: string): number {
    return this.named.newest(model)?.version ?? 0
  }

  private hasWantedVersion (engine: KnownServer, model: string): boolean {
    return (engine.weights.get(model) ?? 0) >= this.wantedVersion(model)
  }

  private async check (): Promise<void> {
    const { clock, lease, rank, reachesServers } = this.options
    if (!reachesServers()) {
      lease.release()
    }
    const isOwnTurn = reachesServers() && (lease.fence() !== undefined || clock.now() >= this.progressAt + rank() * RANK_DELAY_MS)
    if (!isOwnTurn || !await lease.acquire()) {
      this.dropChangesUnlessRenewing()
      return
    }
    this.outdatedModels().forEach(model => this.advance(model))
    this.announcePending()
  }

  /** Drops the changes unless a renewal is pending: another instance may give orders now. */
  private dropChangesUnlessRenewing (): void {
    if (!this.options.lease.isRenewing) {
      this.changes.clear()
    }
  }

  /** Announces all engines in one message: a message for each engine to each instance would saturate the link of a small machine for seconds. */
  private announcePending (): void {
    if (this.pendingUpdates.size > 0) {
      this.options.announce([...this.pendingUpdates.values()])
      this.pendingUpdates.clear()
    }
  }

  private advance (model: string): void {
    const now = this.options.clock.now()
    const engines = this.enginesOf(model)
    this.dropChangesExcept(engines)
    const { steer, order } = planRollout(engines.filter(engine => canBeChanged(engine, this.changes.get(engine.listed.id), now)).map(engine => this.toRolloutEngine(engine, model)))
    steer.forEach(id => this.steer(id, model))
    order.forEach(id => this.order(id, model))
    for (const engine of engines) {
      const change = this.changes.get(engine.listed.id)
      if (change) {
        this.keepSteered(engine, model)
        change.pollReport().catch(this.logFailure)
      }
    }
  }

  /** Drops the changes of engines that left, restarted or were found to have the weights. */
  private dropChangesExcept (engines: readonly KnownServer[]): void {
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
      hasWanted: this.hasWantedVersion(engine, model),
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
        onDisplaced: () => directory.observations.recordDisplaced(engine, clock.now()),
        isSameIncarnation: startedAt => directory.recordStart(engine, startedAt)
      }))
    }
  }

  /** Checks the lease right before sending: an order must not be sent after its term. */
  private order (id: string, model: string): void {
    const fence = this.options.lease.fence()
    const change = this.changes.get(id)
    if (change && fence !== undefined) {
      change.sendOrder({ version: this.wantedVersion(model), fence }).catch(this.logFailure)
    }
  }

  private keepSteered (engine: KnownServer, model: string): void {
    const now = this.options.clock.now()
    if (engine.changingUntil < now + REANNOUNCE_BELOW_MS) {
      const version = this.wantedVersion(model)
      engine.changingUntil = now + STEERED_MS
      engine.changingTo = { model, version }
      this.progressAt = now
      this.pendingUpdates.set(engine.listed.id, { server: engine.hash, model, version, changingMs: STEERED_MS })
    }
  }

  private onWeights (engine: KnownServer, model: string, version: number): void {
    const { directory, clock } = this.options
    const { id } = engine.listed
    const isNew = version > (engine.weights.get(model) ?? -1)
    directory.recordWeights(engine, model, version)
    if (isNew || this.hasWantedVersion(engine, model)) {
      this.progressAt = clock.now()
      this.pendingUpdates.set(id, { server: engine.hash, model, version, changingMs: 0 })
    }
    // If newer weights were named meanwhile, the engine is steered again for them in its turn.
    if (this.hasWantedVersion(engine, model) || this.changes.get(id)?.hasCarriedOut(version) === true) {
      this.changes.delete(id)
    }
  }
}
