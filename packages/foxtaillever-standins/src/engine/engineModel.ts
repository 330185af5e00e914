/**
 * Model of a model engine: streams over a batch with a prefix cache, identity
 * checks, cancel and resume, load reports with a lag, cache events, orders, kept
 * cache and faults. It knows no network; a server puts it on a socket.
 */
import {
  estimateTokens, Failure, FailureCode, SeededRandom, Verdict,
  type CacheEventPage, type CacheExport, type CacheImport, type Clock, type EngineOrder, type EngineState, type LoadReport, type Random, type StreamStart
} from 'foxtaillever-core'
import { Left, type Either } from 'purify-ts'
import { answerKey } from '../answer.js'
import { KeptCacheStoreModel, type KeptCacheStore } from '../platform/keptCacheStoreModel.js'
import { WeightStoreModel, type WeightStore } from '../platform/weightStoreModel.js'
import { Batch } from './batch.js'
import { BlockCache } from './blockCache.js'
import { CacheEventFeed } from './cacheEventFeed.js'
import { createEngineFaults, type EngineFaults } from './engineFaults.js'
import { EngineListener } from './engineListener.js'
import type { EngineOptions, Generation, Stream, StreamSink } from './generation.js'
import { KeptCacheDesk } from './keptCacheDesk.js'
import { LaggedValue } from './laggedValue.js'
import { OrderDesk, type OrderCall } from './orderDesk.js'
import { RunCounts } from './runCounts.js'
import { StreamTable } from './streamTable.js'
import { Weights } from './weights.js'

/** What an engine stands among; each part is made anew where none is given. */
export interface EngineSurroundings {
  readonly random?: Random
  readonly weightStore?: WeightStore
  readonly keptCacheStore?: KeptCacheStore
}

/** Room of a kept-cache store that belongs to one engine alone, tokens. */
const OWN_STORE_TOKENS = 1_000_000

export class EngineModel {
  readonly faults: EngineFaults
  /** What ran here over all incarnations, for oracles. */
  readonly counts = RunCounts.create()
  private readonly cache: BlockCache
  private readonly streams: StreamTable
  private readonly batch: Batch
  private readonly events: CacheEventFeed
  private readonly orders: OrderDesk
  private readonly kept: KeptCacheDesk
  private readonly reports: LaggedValue<LoadReport>
  private readonly weights: Weights
  private order = 0
  private leaving = false
  private incarnationNumber = 0
  private incarnation: string
  private downUntil = 0
  private crashListener: (restartAt: number) => void = () => {}

  private constructor (readonly options: EngineOptions, private readonly clock: Clock, surroundings: EngineSurroundings) {
    this.faults = createEngineFaults(options.eventLagMs, options.loadLagMs)
    this.cache = BlockCache.create(options.cacheTokens, options.cacheKeptMs)
    this.weights = Weights.create(options)
    this.streams = StreamTable.create(clock)
    this.events = CacheEventFeed.create(clock, surroundings.random ?? SeededRandom.create(1), this.faults)
    this.batch = Batch.create(options, clock, this.cache, this.faults, this.createListener())
    const desk = { checksFencing: options.checksFencing ?? false, trustedCallers: options.trustedCallers }
    this.orders = OrderDesk.create(desk, clock, surroundings.weightStore ?? WeightStoreModel.create(clock), order => this.apply(order))
    this.kept = KeptCacheDesk.create(this.cache, clock, surroundings.keptCacheStore ?? KeptCacheStoreModel.create(OWN_STORE_TOKENS))
    this.reports = LaggedValue.create(clock)
    this.incarnation = this.drawIncarnation()
    this.sampleLoad()
  }

  static create (options: EngineOptions, clock: Clock, surroundings: EngineSurroundings = {}): EngineModel {
    return new EngineModel(options, clock, surroundings)
  }

  /** How many times each request began to run here, for oracles. */
  get runs (): Map<string, number> {
    return this.counts.byRequest
  }

  private createListener (): EngineListener {
    return EngineListener.create({
      events: this.events,
      faults: this.faults,
      counts: this.counts,
      identityOf: generation => this.weights.identity(generation, this.incarnation),
      startOf: (stream, cachedTokens) => this.startOf(stream, cachedTokens),
      finish: stream => this.finish(stream),
      crash: () => this.crash(),
      changed: () => this.changed()
    })
  }

  private drawIncarnation (): string {
    this.incarnationNumber += 1
    return `${this.options.name}-${Math.floor(this.clock.now()).toString(36)}-${this.incarnationNumber}`
  }

  /** Takes a request in, or refuses it; a refusal means that it did not run. */
  submit (generation: Generation, sink: StreamSink): Either<Failure, string> {
    return this.check(generation).map(() => {
      const stream = this.createStream(generation, sink)
      this.streams.add(stream)
      this.batch.add(stream)
      this.sampleLoad()
      return stream.id
    })
  }

  private check (generation: Generation): Either<Failure, void> {
    const refuse = (code: FailureCode, message: string): Either<Failure, void> => Left(Failure.notRun(code, message))
    if (this.isDown()) {
      return refuse(FailureCode.ConnectionRefused, 'This engine is starting.')
    }
    if (this.leaving) {
      return refuse(FailureCode.Leaving, 'This engine is leaving.')
    }
    if (this.orders.isPending()) {
      return refuse(FailureCode.BackendServerRefused, 'This engine is carrying out an order.')
    }
    if (generation.expectedIncarnation !== '' && generation.expectedIncarnation !== this.incarnation) {
      return refuse(FailureCode.Stale, 'This engine has restarted since.')
    }
    return this.weights.check(generation)
  }

  private createStream (generation: Generation, sink: StreamSink): Stream {
    const order = this.order++
    return {
      id: `${this.incarnation}.${order}`,
      generation,
      sink,
      chain: BlockCache.chain(this.weights.salt(generation), generation.prompt),
      promptTokens: estimateTokens(generation.prompt.length),
      answerKey: answerKey(generation.prompt),
      order,
      start: undefined,
      prefillLeft: 0,
      produced: generation.continueAfter,
      done: false
    }
  }

  private startOf (stream: Stream, cachedTokens: number): StreamStart {
    return {
      streamId: stream.id,
      incarnation: this.incarnation,
      weightsVersion: this.weights.version(),
      promptTokens: stream.promptTokens,
      cachedTokens
    }
  }

  /** Attaches a new sink to a stream and repeats what came after the given event. */
  resume (streamId: string, after: number, sink: StreamSink): Either<Failure, void> {
    return this.streams.resume(streamId, after, sink)
  }

  /** The socket is gone: the stream runs on, unseen, until it is resumed or its time is up. */
  detach (streamId: string, sink: StreamSink): void {
    this.streams.detach(streamId, sink)
  }

  /** Stops a stream, named by its id or by the request's. */
  cancel (id: string): void {
    const stream = this.streams.take(id)
    if (stream) {
      this.batch.remove(stream)
      this.changed()
    }
  }

  private finish (stream: Stream): void {
    this.streams.finish(stream)
    this.changed()
  }

  /** Something ended: orders go on once nothing runs. */
  private changed (): void {
    this.sampleLoad()
    if (this.batch.isEmpty()) {
      this.orders.proceed()
    }
  }

  /** Refuses new work from now on; what runs is finished. */
  leave (): void {
    this.leaving = true
    this.sampleLoad()
  }

  /** Loses everything and comes back empty, at once or after the restart time. */
  crash (): void {
    const lost = this.batch.clear()
    this.streams.clear()
    this.orders.reset()
    this.weights.reset()
    this.renew()
    this.downUntil = this.clock.now() + this.faults.restartMs
    this.crashListener(this.downUntil)
    lost.forEach(stream => stream.sink.failed(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The engine crashed.')))
  }

  /** Tells a server when this engine crashes, and when it will be back. */
  onCrash (listener: (restartAt: number) => void): void {
    this.crashListener = listener
  }

  isDown (): boolean {
    return this.clock.now() < this.downUntil
  }

  /** Nothing that was cached counts any more. */
  private renew (): void {
    this.cache.clear()
    this.events.restart()
    this.incarnation = this.drawIncarnation()
    this.sampleLoad()
  }

  setFaults (faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults)
    this.batch.wake()
  }

  /** Takes an order, or refuses it. */
  give (call: OrderCall): Either<Failure, void> {
    return this.orders.take(call).map(() => this.changed())
  }

  /** Every order that arrived, taken or not, for oracles. */
  receivedOrders (): readonly OrderCall[] {
    return this.orders.received
  }

  private apply (order: EngineOrder): void {
    if (this.weights.apply(order)) {
      this.renew()
    }
  }

  /** Puts the cached blocks of a prefix into the kept-cache store; answers their tokens. */
  async exportCache (request: CacheExport): Promise<Either<Failure, number>> {
    return await this.kept.put(request, this.weights, this.incarnation)
  }

  /** Takes blocks from the kept-cache store; answers their tokens. */
  async importCache (request: CacheImport): Promise<Either<Failure, number>> {
    return await this.kept.take(request, this.weights)
  }

  readEvents (after: number): CacheEventPage {
    return this.events.read(this.incarnation, after)
  }

  /** Streams in the batch right now, without the lag of load reports; for oracles. */
  runningNow (): number {
    return this.batch.runningCount()
  }

  private sampleLoad (): void {
    this.reports.put(this.measureLoad(), this.faults.loadLagMs)
  }

  private measureLoad (): LoadReport {
    return {
      incarnation: this.incarnation,
      weightsVersion: this.weights.version(),
      running: this.batch.runningCount(),
      waiting: this.batch.waitingCount(),
      waitingTokens: this.batch.waitingTokens(),
      cacheTokensUsed: this.cache.tokens(),
      leaving: this.leaving,
      madeAt: this.clock.now()
    }
  }

  /** The load as it was some time ago. */
  load (): LoadReport {
    this.sampleLoad()
    return this.reports.get(this.faults.loadLagMs) ?? this.measureLoad()
  }

  state (): EngineState {
    return {
      name: this.options.name,
      incarnation: this.incarnation,
      models: this.weights.models(),
      weightsVersion: this.weights.version(),
      adapters: this.weights.adapters(),
      role: this.weights.role(),
      leaving: this.leaving,
      pendingOrders: this.orders.pendingOrders(),
      doneOrders: this.orders.doneOrders(),
      highestFence: this.orders.highestFence()
    }
  }
}
