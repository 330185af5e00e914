/** What a stand-in engine is asked to generate, how it is set up, and one stream of it. */
import type { EngineRole, Failure, StreamEnd, StreamStart } from 'foxtaillever-core'

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
  readonly adapters?: readonly string[]
  readonly role?: EngineRole
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing?: boolean
  /** Callers whose orders are taken; undefined when no one is checked. */
  readonly trustedCallers?: readonly string[]
  /** How late cache events come, milliseconds. */
  readonly eventLagMs?: number
  /** How old load reports are, milliseconds. */
  readonly loadLagMs?: number
}

export interface Generation {
  readonly requestId: string
  readonly account: string
  /** A model's name, with `:adapter` after it where one is asked for. */
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** Tokens an earlier engine delivered; the answer goes on after them. */
  readonly continueAfter: number
  /** Lower runs first. */
  readonly priority: number
  readonly expectedIncarnation: string
  readonly expectedWeights: string
  /** Key of a request that runs at most once; undefined or empty for the others. */
  readonly idempotencyKey?: string
}

/** Receives a stream; events are numbered from 0 for the start. */
export interface StreamSink {
  started: (start: StreamStart) => void
  token: (sequence: number, text: string) => void
  finished: (sequence: number, end: StreamEnd) => void
  failed: (failure: Failure) => void
}

export const silentSink: StreamSink = {
  started: () => {},
  token: () => {},
  finished: () => {},
  failed: () => {}
}

/** One stream from submission to its end; changed by the batch alone. */
export interface Stream {
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

export function endOf (stream: Stream): StreamEnd {
  return {
    finishReason: 'length',
    promptTokens: stream.promptTokens,
    cachedTokens: stream.start?.cachedTokens ?? 0,
    completionTokens: stream.produced
  }
}
