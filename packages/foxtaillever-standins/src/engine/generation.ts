/** Options of a stand-in engine, its generation requests and their streams. */
import type { EngineRole, Failure, StreamEnd, StreamStart } from 'foxtaillever-core'

export interface EngineOptions {
  readonly name: string
  readonly models: readonly string[]
  readonly weightsVersion: string
  readonly slots: number
  readonly prefillTokensPerSecond: number
  /** Decode steps a second with one stream in the batch. */
  readonly decodeTokensPerSecond: number
  readonly cacheTokens: number
  /** Blocks unused for this long are evicted, milliseconds. */
  readonly cacheKeptMs: number
  readonly adapters?: readonly string[]
  readonly role?: EngineRole
  /** Whether orders with an old fencing number are refused. */
  readonly checksFencing?: boolean
  /** Callers whose orders are accepted; undefined if callers are not checked. */
  readonly trustedCallers?: readonly string[]
  /** Delay of cache events, milliseconds. */
  readonly eventLagMs?: number
  /** Age of load reports, milliseconds. */
  readonly loadLagMs?: number
}

export interface Generation {
  readonly requestId: string
  readonly account: string
  /** Name of the model, followed by `:adapter` if the request names an adapter. */
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** Number of tokens that an earlier engine delivered; the answer continues after them. */
  readonly continueAfter: number
  /** Lower values run first. */
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

/** One stream from submission to its end. Only the batch changes `start`, `prefillLeft` and `produced`. */
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

export function createStreamEnd (stream: Stream): StreamEnd {
  return {
    finishReason: 'length',
    promptTokens: stream.promptTokens,
    cachedTokens: stream.start?.cachedTokens ?? 0,
    completionTokens: stream.produced
  }
}
