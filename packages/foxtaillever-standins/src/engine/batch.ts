/**
 * Continuous batching: a limited number of concurrent streams, prefill in chunks,
 * one token per stream and step. It updates the prefix cache and notifies a
 * listener, which handles each event for the engine model.
 */
import type { Clock, StreamStart } from 'foxtaillever-core'
import { answerToken } from '../answer.js'
import type { BlockCache } from './blockCache.js'
import type { EngineFaults } from './engineFaults.js'
import type { EngineOptions, Stream } from './generation.js'

/** Maximum number of prompt tokens prefilled in one step; longer prompts take several steps. */
const PREFILL_CHUNK_TOKENS = 2048

export interface BatchListener {
  /** The stream leaves the queue; returns the start event for its caller. */
  started: (stream: Stream, cachedTokens: number) => StreamStart
  /** Blocks were added that the cache did not hold before. */
  stored: (stream: Stream, blocks: readonly string[]) => void
  evicted: (blocks: readonly string[]) => void
  /** A token was sent. */
  produced: (stream: Stream) => void
  finished: (stream: Stream) => void
  /** A step ended; returns true if the step crashed the engine. */
  stepped: (streams: readonly Stream[]) => boolean
}

export class Batch {
  private waiting: Stream[] = []
  private running: Stream[] = []
  private stepping = false
  private nextStepAt = 0
  private epoch = 0

  private constructor (
    private readonly options: EngineOptions,
    private readonly clock: Clock,
    private readonly cache: BlockCache,
    private readonly faults: EngineFaults,
    private readonly listener: BatchListener
  ) {}

  static create (options: EngineOptions, clock: Clock, cache: BlockCache, faults: EngineFaults, listener: BatchListener): Batch {
    return new Batch(options, clock, cache, faults, listener)
  }

  add (stream: Stream): void {
    this.waiting.push(stream)
    this.waiting.sort((a, b) => a.generation.priority - b.generation.priority || a.order - b.order)
    this.wake()
  }

  remove (stream: Stream): void {
    this.waiting = this.waiting.filter(other => other !== stream)
    this.running = this.running.filter(other => other !== stream)
  }

  /** Empties the batch and returns its streams; a step in progress has no effect. */
  clear (): Stream[] {
    const lost = [...this.running, ...this.waiting]
    this.waiting = []
    this.running = []
    this.stepping = false
    this.epoch += 1
    return lost
  }

  isEmpty (): boolean {
    return this.running.length === 0 && this.waiting.length === 0
  }

  runningCount (): number {
    return this.running.length
  }

  waitingCount (): number {
    return this.waiting.length
  }

  /** Uncached prompt tokens that wait for prefill. */
  waitingTokens (): number {
    const uncached = (stream: Stream): number => stream.start ? stream.prefillLeft : stream.promptTokens
    return [...this.waiting, ...this.running].reduce((sum, stream) => sum + uncached(stream), 0)
  }

  /** Starts stepping unless a step is already scheduled or the engine is frozen. */
  wake (): void {
    if (this.stepping || this.faults.frozen) {
      return
    }
    this.stepping = true
    this.nextStepAt = this.clock.now()
    this.scheduleStep()
  }

  /** Plans a step for the current batch; its results are applied when it ends. */
  private scheduleStep (): void {
    this.startWaitingStreams()
    if (this.running.length === 0 || this.faults.frozen) {
      this.stepping = false
      return
    }
    const prefill = this.planPrefill()
    const decodeMs = 1000 / this.options.decodeTokensPerSecond * this.faults.slowFactor
    const prefillMs = prefill.tokens / this.options.prefillTokensPerSecond * 1000 * this.faults.slowFactor
    const stepMs = decodeMs + prefillMs
    // After a late timer, the schedule catches up by at most one step.
    this.nextStepAt = Math.max(this.nextStepAt, this.clock.now() - decodeMs) + stepMs
    const epoch = this.epoch
    this.clock.at(this.nextStepAt, () => this.endPlannedStep(epoch, prefill.streams))
  }

  private endPlannedStep (epoch: number, prefilled: Map<Stream, number>): void {
    if (epoch !== this.epoch) {
      return
    }
    if (this.faults.frozen) {
      this.stepping = false
      return
    }
    this.endStep(prefilled)
    if (!this.listener.stepped(this.running)) {
      this.scheduleStep()
    }
  }

  private startWaitingStreams (): void {
    while (this.running.length < this.options.slots) {
      const stream = this.waiting.shift()
      if (!stream) {
        return
      }
      const cachedTokens = Math.min(this.cache.match(stream.chain, this.clock.now()), stream.promptTokens)
      stream.start = this.listener.started(stream, cachedTokens)
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
      const chunk = prefilled.get(stream) ?? 0
      stream.prefillLeft -= chunk
      // A stream that is still in prefill produces nothing in this step.
      if (stream.prefillLeft === 0) {
        this.produce(stream, chunk > 0)
      }
    }
    const evicted = this.cache.evict(this.clock.now())
    if (evicted.length > 0) {
      this.listener.evicted(evicted)
    }
  }

  private produce (stream: Stream, justPrefilled: boolean): void {
    if (justPrefilled) {
      this.listener.stored(stream, this.cache.insert(stream.chain, this.clock.now()))
    }
    if (stream.produced < stream.generation.maxTokens) {
      stream.produced += 1
      stream.sink.token(stream.produced, answerToken(stream.answerKey, stream.produced))
      this.listener.produced(stream)
    }
    if (stream.produced >= stream.generation.maxTokens) {
      this.running = this.running.filter(other => other !== stream)
      this.listener.finished(stream)
    }
  }
}
