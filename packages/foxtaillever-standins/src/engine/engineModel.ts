/**
 * Model of a model engine: streams over a batch with a prefix cache, identity
 * checks, cancel and resume, load reports with a lag, cache events, orders, kept
 * cache and faults. It does no networking; the engine server exposes it over HTTP.
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
import { KeptCacheTransfer } from './keptCacheTransfer.js'
import { LaggedValue } from './laggedValue.js'
import { OrderQueue, type OrderCall } from './orderQueue.js'
import { RunCounts } from './runCounts.js'
import { StreamTable } from './streamTable.js'
import { Weights } from './weights.js'

/** Dependencies of an engine; each one that is not given is created. */
export interface EngineDependencies {
  readonly random?: Random
  readonly weightStore?: WeightStore
  readonly keptCacheStore?: KeptCacheStore
}

/** Capacity of a kept-cache store that only one engine uses, tokens. */
const PRIVATE_STORE_TOKENS = 1_000_000

export class EngineModel {
  readonly faults: EngineFaults
  /** Runs of each request over all incarnations; for test oracles. */
  readonly counts = RunCounts.create()
  private readonly cache: BlockCache
  private readonly streams: StreamTable
  private readonly batch: Batch
  private readonly events: CacheEventFeed
  private readonly orders: OrderQueue
  private readonly keptCache: KeptCacheTransfer
  private readonly reports: LaggedValue<LoadReport>
  private readonly weights: Weights
  private nextOrder = 0
  private leaving = false
  private incarnationNumber = 0
  private incarnation: string
  private downUntil = 0
  private crashListener: (restartAt: number) => void = () => {}

  private constructor (readonly options: EngineOptions, private readonly clock: Clock, dependencies: EngineDependencies) {
    this.faults = createEngineFaults(options.eventLagMs, options.loadLagMs)
    this.cache = BlockCache.create(options.cacheTokens, options.cacheKeptMs)
    this.weights = Weights.create(options)
    this.streams = StreamTable.create(clock)
    this.events = CacheEventFeed.create(clock, dependencies.random ?? SeededRandom.create(1), this.faults)
    this.batch = Batch.create(options, clock, this.cache, this.faults, this.createListener())
    const orderOptions = { checksFencing: options.checksFencing ?? false, trustedCallers: options.trustedCallers }
    this.orders = OrderQueue.create(orderOptions, clock, dependencies.weightStore ?? WeightStoreModel.create(clock), order => this.apply(order))
    this.keptCache = KeptCacheTransfer.create(this.cache, clock, dependencies.keptCacheStore ?? KeptCacheStoreModel.create(PRIVATE_STORE_TOKENS))
    this.reports = LaggedValue.create(clock)
    this.incarnation = this.createIncarnation()
    this.sampleLoad()
  }

  static create (options: EngineOptions, clock: Clock, dependencies: EngineDependencies = {}): EngineModel {
    return new EngineModel(options, clock, dependencies)
  }

  /** How many times each request started to run here; for test oracles. */
  get runs (): Map<string, number> {
    return this.counts.byRequest
  }

  private createListener (): EngineListener {
    return EngineListener.create({
      events: this.events,
      faults: this.faults,
      counts: this.counts,
      identityOf: generation => this.weights.identity(generation, this.incarnation),
      startOf: (stream, cachedTokens) => this.createStreamStart(stream, cachedTokens),
      finish: stream => this.finish(stream),
      crash: () => this.crash(),
      changed: () => this.handleChange()
    })
  }

  private createIncarnation (): string {
    this.incarnationNumber += 1
    return `${this.options.name}-${Math.floor(this.clock.now()).toString(36)}-${this.incarnationNumber}`
  }

  /** Accepts or refuses a request; a refused request did not run. */
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
    const order = this.nextOrder++
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

  private createStreamStart (stream: Stream, cachedTokens: number): StreamStart {
    return {
      streamId: stream.id,
      incarnation: this.incarnation,
      weightsVersion: this.weights.version(),
      promptTokens: stream.promptTokens,
      cachedTokens
    }
  }

  /** Attaches a new sink to a stream and repeats the events after the given one. */
  resume (streamId: string, after: number, sink: StreamSink): Either<Failure, void> {
    return this.streams.resume(streamId, after, sink)
  }

  /** Detaches a closed socket; the stream keeps running and can be resumed until it expires. */
  detach (streamId: string, sink: StreamSink): void {
    this.streams.detach(streamId, sink)
  }

  /** Cancels a stream, given its stream id or request id. */
  cancel (id: string): void {
    const stream = this.streams.remove(id)
    if (stream) {
      this.batch.remove(stream)
      this.handleChange()
    }
  }

  private finish (stream: Stream): void {
    this.streams.finish(stream)
    this.handleChange()
  }

  /** Samples the load and, if the batch is empty, carries out the next order. */
  private handleChange (): void {
    this.sampleLoad()
    if (this.batch.isEmpty()) {
      this.orders.runNext()
    }
  }

  /** Refuses new requests from now on; accepted streams finish. */
  leave (): void {
    this.leaving = true
    this.sampleLoad()
  }

  /** Loses all state and restarts empty, at once or after the restart time. */
  crash (): void {
    const lost = this.batch.clear()
    this.streams.clear()
    this.orders.reset()
    this.weights.reset()
    this.startIncarnation()
    this.downUntil = this.clock.now() + this.faults.restartMs
    this.crashListener(this.downUntil)
    lost.forEach(stream => stream.sink.failed(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The engine crashed.')))
  }

  /** Sets the listener for crashes; it gets the time of the restart. */
  onCrash (listener: (restartAt: number) => void): void {
    this.crashListener = listener
  }

  isDown (): boolean {
    return this.clock.now() < this.downUntil
  }

  /** Clears the cache and its events and starts a new incarnation. */
  private startIncarnation (): void {
    this.cache.clear()
    this.events.restart()
    this.incarnation = this.createIncarnation()
    this.sampleLoad()
  }

  setFaults (faults: Partial<EngineFaults>): void {
    Object.assign(this.faults, faults)
    this.batch.wake()
  }

  /** Accepts or refuses an order. */
  give (call: OrderCall): Either<Failure, void> {
    return this.orders.acceptOrder(call).map(() => this.handleChange())
  }

  /** Every order received, accepted or not; for test oracles. */
  receivedOrders (): readonly OrderCall[] {
    return this.orders.received
  }

  private apply (order: EngineOrder): void {
    if (this.weights.apply(order)) {
      this.startIncarnation()
    }
  }

  /** Saves the cached blocks of a prefix to the kept-cache store; returns their number of tokens. */
  async exportCache (request: CacheExport): Promise<Either<Failure, number>> {
    return await this.keptCache.exportCache(request, this.weights, this.incarnation)
  }

  /** Loads blocks from the kept-cache store; returns their number of tokens. */
  async importCache (request: CacheImport): Promise<Either<Failure, number>> {
    return await this.keptCache.importCache(request, this.weights)
  }

  readEvents (after: number): CacheEventPage {
    return this.events.read(this.incarnation, after)
  }

  /** Number of running streams, without the lag of load reports; for test oracles. */
  runningNow (): number {
    return this.batch.runningCount()
  }

  private sampleLoad (): void {
    this.reports.addSample(this.measureLoad(), this.faults.loadLagMs)
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

  /** The load report, delayed by the load lag. */
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
