/**
 * Model of a model engine: continuous batching with a batch limit, chunked
 * prefill, a prefix cache in limited memory, priorities, cancel and resume of
 * streams. It knows no network; a server puts it on a socket.
 */
import { estimateTokens, Failure, FailureCode, Verdict, type Clock, type LoadReport, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import { answerKey, answerToken } from '../answer.js'
import { BlockCache } from './blockCache.js'

export interface EngineOptions {
  readonly name: string
  readonly models: readonly string[]
  readonly weightsVersion: string
  readonly slots: number
  readonly prefillTokensPerSecond: number
  /** Decode steps a second when the batch is empty but for one. */
  readonly decodeTokensPerSecond: number
  readonly cacheTokens: number
  /** Blocks unused for this long are evicted, milliseconds. */
  readonly cacheKeptMs: number
}

export interface Generation {
  readonly requestId: string
  readonly account: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** Tokens an earlier engine delivered; the answer goes on after them. */
  readonly continueAfter: number
  /** Lower runs first. */
  readonly priority: number
  readonly expectedIncarnation: string
  readonly expectedWeights: string
}

/** Receives a stream; events are numbered from 0 for the start. */
export interface StreamSink {
  started: (start: StreamStart) => void
  token: (sequence: number, text: string) => void
  finished: (sequence: number, end: StreamEnd) => void
  failed: (failure: Failure) => void
}

interface Stream {
  readonly id: string
  readonly generation: Generation
  readonly chain: readonly string[]
  readonly promptTokens: number
  readonly answerKey: string
  readonly order: number
  sink: StreamSink
  start: StreamStart | undefined
  prefillLeft: number
  produced: number
  done: boolean
}

const silentSink: StreamSink = {
  started: () => {},
  token: () => {},
  finished: () => {},
  failed: () => {}
}

/** Prompt tokens prefilled in one step at most; longer prompts take several steps. */
const PREFILL_CHUNK_TOKENS = 2048

/** Finished streams are kept this long for a resume, milliseconds. */
const FINISHED_KEPT_MS = 10_000

export class EngineModel {
  private readonly cache: BlockCache
  private readonly streams = new Map<string, Stream>()
  private waiting: Stream[] = []
  private running: Stream[] = []
  private order = 0
  private stepping = false
  private leaving = false
  private incarnationNumber = 0
  private incarnation: string
  private nextStepAt = 0
  /** How many times each request began to run here, for oracles. */
  readonly runs = new Map<string, number>()

  private constructor (readonly options: EngineOptions, private readonly clock: Clock) {
    this.cache = BlockCache.create(options.cacheTokens, options.cacheKeptMs)
    this.incarnation = this.drawIncarnation()
  }

  static create (options: EngineOptions, clock: Clock): EngineModel {
    return new EngineModel(options, clock)
  }

  private drawIncarnation (): string {
    this.incarnationNumber += 1
    return `${this.options.name}-${Math.floor(this.clock.now()).toString(36)}-${this.incarnationNumber}`
  }

  /** Takes a request in, or refuses it; a refusal means that it did not run. */
  submit (generation: Generation, sink: StreamSink): Either<Failure, string> {
    return this.check(generation).map(() => {
      const stream = this.createStream(generation, sink)
      this.streams.set(stream.id, stream)
      this.waiting.push(stream)
      this.waiting.sort((one, other) => one.generation.priority - other.generation.priority || one.order - other.order)
      this.runs.set(generation.requestId, (this.runs.get(generation.requestId) ?? 0) + 1)
      this.wake()
      return stream.id
    })
  }

  private check (generation: Generation): Either<Failure, void> {
    const refuse = (code: FailureCode, message: string): Either<Failure, void> => Left(Failure.notRun(code, message))
    if (this.leaving) {
      return refuse(FailureCode.Leaving, 'This engine is leaving.')
    }
    if (!this.options.models.includes(generation.model)) {
      return refuse(FailureCode.UnknownModel, `Model ${generation.model} is not loaded here.`)
    }
    if (generation.expectedIncarnation !== '' && generation.expectedIncarnation !== this.incarnation) {
      return refuse(FailureCode.Stale, 'This engine has restarted since.')
    }
    if (generation.expectedWeights !== '' && generation.expectedWeights !== this.options.weightsVersion) {
      return refuse(FailureCode.Stale, `Weights ${this.options.weightsVersion} are loaded here.`)
    }
    return Right(undefined)
  }

  private createStream (generation: Generation, sink: StreamSink): Stream {
    const order = this.order++
    const salt = `${generation.account}/${generation.model}/${this.options.weightsVersion}`
    return {
      id: `${this.incarnation}.${order}`,
      generation,
      sink,
      chain: BlockCache.chain(salt, generation.prompt),
      promptTokens: estimateTokens(generation.prompt.length),
      answerKey: answerKey(generation.prompt),
      order,
      start: undefined,
      prefillLeft: 0,
      produced: generation.continueAfter,
      done: false
    }
  }

  /** Attaches a new sink to a stream and repeats what came after the given event. */
  resume (streamId: string, after: number, sink: StreamSink): Either<Failure, void> {
    const stream = this.streams.get(streamId)
    if (!stream) {
      return Left(Failure.create(FailureCode.StreamBroken, Verdict.MayHaveRun, 'This engine does not know the stream.'))
    }
    stream.sink = sink
    if (stream.start) {
      sink.started(stream.start)
    }
    for (let sequence = after + 1; sequence <= stream.produced; sequence++) {
      sink.token(sequence, answerToken(stream.answerKey, sequence))
    }
    if (stream.done) {
      sink.finished(stream.produced + 1, this.endOf(stream))
    }
    return Right(undefined)
  }

  /** The socket is gone: the stream runs on, unseen, until it is resumed or its time is up. */
  detach (streamId: string, sink: StreamSink): void {
    const stream = this.streams.get(streamId)
    if (stream?.sink === sink) {
      stream.sink = silentSink
    }
  }

  /** Stops a stream, named by its id or by the request's. */
  cancel (id: string): void {
    const stream = this.streams.get(id) ?? [...this.streams.values()].find(other => other.generation.requestId === id)
    if (!stream) {
      return
    }
    this.streams.delete(stream.id)
    this.waiting = this.waiting.filter(other => other !== stream)
    this.running = this.running.filter(other => other !== stream)
  }

  /** Refuses new work from now on; what runs is finished. */
  leave (): void {
    this.leaving = true
  }

  /** Loses everything and comes back empty, as a new incarnation. */
  crash (): void {
    const lost = [...this.streams.values()].filter(stream => !stream.done)
    this.streams.clear()
    this.waiting = []
    this.running = []
    this.cache.clear()
    this.incarnation = this.drawIncarnation()
    lost.forEach(stream => stream.sink.failed(Failure.create(FailureCode.ConnectionLost, Verdict.MayHaveRun, 'The engine crashed.')))
  }

  load (): LoadReport {
    const uncached = (stream: Stream): number => stream.start ? stream.prefillLeft : stream.promptTokens
    return {
      incarnation: this.incarnation,
      weightsVersion: this.options.weightsVersion,
      running: this.running.length,
      waiting: this.waiting.length,
      waitingTokens: [...this.waiting, ...this.running].reduce((sum, stream) => sum + uncached(stream), 0),
      cacheTokensUsed: this.cache.tokens(),
      leaving: this.leaving,
      madeAt: this.clock.now()
    }
  }

  private wake (): void {
    if (this.stepping) {
      return
    }
    this.stepping = true
    this.nextStepAt = this.clock.now()
    this.scheduleStep()
  }

  /** Plans a step from the batch as it is now; its results come when it ends. */
  private scheduleStep (): void {
    this.fillBatch()
    if (this.running.length === 0) {
      this.stepping = false
      return
    }
    const prefill = this.planPrefill()
    const decodeMs = 1000 / this.options.decodeTokensPerSecond
    const prefillMs = prefill.tokens / this.options.prefillTokensPerSecond * 1000
    this.nextStepAt = Math.max(this.nextStepAt, this.clock.now() - decodeMs) + decodeMs + prefillMs
    this.clock.at(this.nextStepAt, () => {
      this.endStep(prefill.streams)
      this.scheduleStep()
    })
  }

  private fillBatch (): void {
    while (this.running.length < this.options.slots) {
      const stream = this.waiting.shift()
      if (!stream) {
        return
      }
      const cachedTokens = Math.min(this.cache.match(stream.chain, this.clock.now()), stream.promptTokens)
      stream.start = {
        streamId: stream.id,
        incarnation: this.incarnation,
        weightsVersion: this.options.weightsVersion,
        promptTokens: stream.promptTokens,
        cachedTokens
      }
      stream.prefillLeft = stream.promptTokens - cachedTokens
      this.running.push(stream)
      stream.sink.started(stream.start)
    }
  }

  private planPrefill (): { tokens: number, streams: Map<Stream, number> } {
    const streams = new Map<Stream, number>()
    let tokens = 0
    for (const stream of this.running) {
      const chunk = Math.min(stream.prefillLeft, PREFILL_CHUNK_TOKENS - tokens)
      if (chunk > 0) {
        streams.set(stream, chunk)
        tokens += chunk
      }
    }
    return { tokens, streams }
  }

  private endStep (prefilled: Map<Stream, number>): void {
    for (const stream of [...this.running]) {
      const chunk = prefilled.get(stream)
      if (chunk !== undefined) {
        stream.prefillLeft -= chunk
      }
      // A stream that is still in prefill produces nothing in this step.
      if (stream.prefillLeft === 0) {
        this.produce(stream, chunk !== undefined)
      }
    }
    this.cache.evict(this.clock.now())
  }

  private produce (stream: Stream, justPrefilled: boolean): void {
    if (justPrefilled) {
      this.cache.insert(stream.chain, this.clock.now())
    }
    if (stream.produced < stream.generation.maxTokens) {
      stream.produced += 1
      stream.sink.token(stream.produced, answerToken(stream.answerKey, stream.produced))
    }
    if (stream.produced >= stream.generation.maxTokens) {
      this.finish(stream)
    }
  }

  private finish (stream: Stream): void {
    stream.done = true
    this.running = this.running.filter(other => other !== stream)
    this.clock.at(this.clock.now() + FINISHED_KEPT_MS, () => this.streams.delete(stream.id))
    stream.sink.finished(stream.produced + 1, this.endOf(stream))
  }

  private endOf (stream: Stream): StreamEnd {
    return {
      finishReason: 'length',
      promptTokens: stream.promptTokens,
      cachedTokens: stream.start?.cachedTokens ?? 0,
      completionTokens: stream.produced
    }
  }
}
