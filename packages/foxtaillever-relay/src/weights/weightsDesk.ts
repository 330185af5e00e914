/**
 * Brings the engines to the weights that operators name: newest only, a few at
 * once, by one instance at a time. The others are told before an order leaves,
 * so that the engine gets no request that it would turn away, and told again
 * when it has the weights. An order is a wanted state: it is observed, and given
 * again until it holds.
 */
import { waitUntil, type Clock } from 'foxtaillever-core'
import { planRollout } from 'foxtaillever-policy/relay/planRollout'
import { ServerState } from '../model/listedServer.js'
import type { WeightsNews } from '../peers/peerMessage.js'
import type { KnownServer } from '../servers/knownServer.js'
import type { ServerDirectory } from '../servers/serverDirectory.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { OrderAnswer, type EngineOrders } from './engineOrders.js'
import type { OrderLease } from './orderLease.js'

/** Between two looks while engines lack weights, milliseconds. */
const LOOK_MS = 50

/** The others hear of a change within this, milliseconds. */
const TOLD_MS = 8

/** Between two looks at an engine that loads; its report is some hundred milliseconds late, milliseconds. */
const WATCH_MS = 150

/** An order that has not shown in the reports by then is given again, milliseconds. */
const LONGEST_CHANGE_MS = 4000

/** Looks in a row at an idle engine without the weights, after which the order counts as lost. */
const IDLE_LOOKS = 4

/** Versions remembered besides the newest; engines that far behind have long been excluded. */
const MOST_NAMED = 8

/** Before an engine that refused an order is asked again, milliseconds. */
const AGAIN_MS = 300

/** Each instance waits this much longer than the one before it for the lease to be taken, milliseconds. */
const TURN_MS = 700

export interface WeightsDeskOptions {
  readonly clock: Clock
  readonly holder: string
  readonly directory: ServerDirectory
  readonly lease: OrderLease
  readonly orders: EngineOrders
  readonly log: RelayLog
  /** This instance's place among those that may take the lease; 0 acts at once. */
  readonly rank: () => number
  /** All requests that the fleet has at the server. */
  readonly outstandingAt: (server: KnownServer) => number
  readonly tell: (news: WeightsNews) => void
}

interface NamedWeights {
  readonly version: number
  /** When it was learned, milliseconds of Unix time. */
  readonly since: number
}

export class WeightsDesk {
  /** Versions of each model in the order in which they were named. */
  private readonly named = new Map<string, NamedWeights[]>()
  /** When something last went forward, here or elsewhere, milliseconds of Unix time. */
  private progressAt = 0
  private isRunning = false

  private constructor (private readonly options: WeightsDeskOptions) {}

  static create (options: WeightsDeskOptions): WeightsDesk {
    return new WeightsDesk(options)
  }

  /** Operators named weights; older ones than are known are no news. */
  name (model: string, version: number): void {
    const now = this.options.clock.now()
    if (version > (this.wanted(model)?.version ?? -1)) {
      this.named.set(model, [...(this.named.get(model) ?? []).slice(-MOST_NAMED), { version, since: now }])
      this.progressAt = now
      this.options.log.belief('Weights were named.', { model, version })
      this.run()
    }
  }

  /** The newest weights that were named. */
  wanted (model: string): NamedWeights | undefined {
    return this.named.get(model)?.at(-1)
  }

  /**
   * Since when there have been newer weights than the version, milliseconds of
   * Unix time; undefined when there are none. The first newer ones count: were
   * it the newest, versions named in quick succession would excuse any age.
   */
  outdatedSince (model: string, version: number): number | undefined {
    return this.named.get(model)?.find(named => named.version > version)?.since
  }

  /** What the one who gives orders tells. */
  observe ({ server, model, version, changingMs }: WeightsNews): void {
    const { clock, directory } = this.options
    this.progressAt = clock.now()
    if (changingMs === 0) {
      directory.observeWeights(server, model, version)
    } else {
      this.markChanging(directory.get(server), changingMs)
    }
  }

  stop (): void {
    this.isRunning = false
  }

  /** Looks again, as after a server came or its weights were found to differ. */
  async run (): Promise<void> {
    if (this.isRunning) {
      return
    }
    const { clock } = this.options
    this.isRunning = true
    while (this.isRunning && this.named.size > 0 && this.outdatedModels().length > 0) {
      await this.look()
      await waitUntil(clock, clock.now() + LOOK_MS)
    }
    this.isRunning = false
  }

  private outdatedModels (): string[] {
    return [...this.named.keys()].filter(model => this.enginesOf(model).some(engine => !this.hasWanted(engine, model)))
  }

  private enginesOf (model: string): KnownServer[] {
    return this.options.directory.all().filter(({ listed, weights }) => listed.state === ServerState.Ready && weights.has(model))
  }

  private hasWanted (engine: KnownServer, model: string): boolean {
    return (engine.weights.get(model) ?? 0) >= (this.wanted(model)?.version ?? 0)
  }

  private async look (): Promise<void> {
    const { clock, lease, rank } = this.options
    const isMyTurn = lease.fence() !== undefined || clock.now() >= this.progressAt + rank() * TURN_MS
    if (!isMyTurn || !await lease.take()) {
      return
    }
    for (const model of this.outdatedModels()) {
      this.orderNext(model)
    }
  }

  private orderNext (model: string): void {
    const { clock, outstandingAt, directory } = this.options
    const now = clock.now()
    const engines = this.enginesOf(model).map(engine => ({
      id: engine.listed.id,
      hasWanted: this.hasWanted(engine, model),
      isChanging: engine.changingUntil > now,
      outstanding: outstandingAt(engine)
    }))
    for (const id of planRollout(engines)) {
      const engine = directory.get(id)
      if (engine) {
        this.markChanging(engine, LONGEST_CHANGE_MS)
        this.change(engine, model)
      }
    }
  }

  /** One order, from the first look at the engine to its new weights. */
  private async change (engine: KnownServer, model: string): Promise<void> {
    const { clock, tell, orders, lease, holder } = this.options
    const server = engine.listed.id
    tell({ server, model, version: 0, changingMs: LONGEST_CHANGE_MS })
    const [report] = await Promise.all([orders.report(engine), waitUntil(clock, clock.now() + TOLD_MS)])
    const state = report.orDefault({ weights: new Map(), isBusy: true, sequence: 0 })
    const version = this.wanted(model)?.version ?? 0
    const fence = lease.fence()
    if ((state.weights.get(model) ?? 0) >= version) {
      this.arrive(engine, model, state.weights.get(model) ?? 0)
      return
    }
    if (state.isBusy || fence === undefined) {
      this.markChanging(engine, AGAIN_MS)
      return
    }
    const answer = await orders.order(engine, { model, version, holder, fence, expectedSequence: state.sequence })
    const outcome = answer.orDefault(OrderAnswer.Refused)
    this.options.log.belief('Ordered new weights.', { server, model, version, fence, sequence: state.sequence, outcome, failure: answer.swap().extract()?.toString() })
    if (outcome !== OrderAnswer.Accepted && answer.isRight()) {
      this.markChanging(engine, AGAIN_MS)
      return
    }
    await this.watch(engine, model, version)
  }

  /** Looks until the engine has the weights; an unanswered order may still be carried out. */
  private async watch (engine: KnownServer, model: string, version: number): Promise<void> {
    const { clock, orders, directory } = this.options
    const until = clock.now() + LONGEST_CHANGE_MS
    let idleLooks = 0
    this.markChanging(engine, LONGEST_CHANGE_MS)
    while (clock.now() < until && engine.changingUntil > 0 && idleLooks < IDLE_LOOKS) {
      await waitUntil(clock, clock.now() + WATCH_MS)
      const report = await orders.report(engine)
      report.ifRight(({ weights, isBusy }) => {
        directory.observeWeights(engine.listed.id, model, weights.get(model) ?? 0)
        idleLooks = isBusy ? 0 : idleLooks + 1
      })
    }
    if ((engine.weights.get(model) ?? 0) >= version) {
      this.arrive(engine, model, version)
    } else {
      this.markChanging(engine, AGAIN_MS)
    }
  }

  private arrive (engine: KnownServer, model: string, version: number): void {
    const { directory, tell } = this.options
    const server = engine.listed.id
    directory.observeWeights(server, model, version)
    engine.changingUntil = 0
    tell({ server, model, version, changingMs: 0 })
  }

  private markChanging (engine: KnownServer | undefined, forMs: number): void {
    if (engine) {
      engine.changingUntil = this.options.clock.now() + forMs
    }
  }
}
