/**
 * The published protocol of a model engine, as this system uses it. The
 * stand-in engine implements it; another wire format needs one adapter.
 */
import type { Either } from 'purify-ts'
import type { Cancellation } from './clock.js'
import type { Failure } from './verdict.js'

/** Header names in addition to those of the completions protocol. */
export enum EngineHeader {
  RequestId = 'x-request-id',
  /** Keeps cached blocks of client accounts apart. */
  Account = 'x-cache-account',
  /** The engine refuses the request with verdict NotRun when its incarnation differs. */
  ExpectedIncarnation = 'x-expected-incarnation',
  ExpectedWeights = 'x-expected-weights',
  Priority = 'x-priority',
  /** Milliseconds of Unix time. */
  Deadline = 'x-deadline',
  /** Tokens delivered so far by an earlier engine; the answer continues after them. */
  ContinueAfter = 'x-continue-after',
  /** Set for requests that run at most once. */
  IdempotencyKey = 'idempotency-key',
  Fence = 'x-fence',
  Caller = 'x-caller',
  Verdict = 'x-verdict'
}

export enum EnginePath {
  Completions = '/v1/completions',
  ChatCompletions = '/v1/chat/completions',
  Streams = '/streams',
  Cancel = '/cancel',
  Load = '/load',
  Events = '/events',
  Orders = '/orders',
  State = '/state',
  CacheExport = '/cache/export',
  CacheImport = '/cache/import'
}

/** Names of server-sent events on a completion stream; chunks carry none. */
export enum StreamEvent {
  Started = 'started',
  Finished = 'finished',
  Failed = 'failed'
}

/** First event of a stream; its id is 0. */
export interface StreamStart {
  readonly streamId: string
  readonly incarnation: string
  readonly weightsVersion: string
  readonly promptTokens: number
  readonly cachedTokens: number
}

/** Last event of a complete stream; its id is one above the last token's. */
export interface StreamEnd {
  readonly finishReason: string
  readonly promptTokens: number
  readonly cachedTokens: number
  readonly completionTokens: number
}

/** One request as an engine receives it. */
export interface GenerateCall {
  readonly requestId: string
  readonly account: string
  readonly model: string
  readonly weightsVersion: string
  /** Empty when any incarnation may run the request. */
  readonly expectedIncarnation: string
  readonly priority: string
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** Chat or text completion; determines the path and the format of chunks. */
  readonly path: EnginePath.Completions | EnginePath.ChatCompletions
  /** The caller's body, validated, with `stream` set. */
  readonly body: Readonly<Record<string, unknown>>
  /** Tokens already delivered by an earlier engine. */
  readonly continueAfter: number
  /** Set for a request that runs at most once; empty for others. */
  readonly idempotencyKey: string
}

/** Resumes a stream at the engine that runs it. */
export interface ResumeCall {
  readonly streamId: string
  /** Number of tokens that need not be sent again. */
  readonly after: number
  readonly requestId: string
  readonly model: string
  readonly path: GenerateCall['path']
}

/** Receives the events of one call; the last one is either finished or failed. */
export interface GenerateListener {
  /**
   * Called before the first byte is sent; a failure before this call is proven NotRun.
   * @returns false to send nothing; the call then fails with verdict NotRun.
   */
  sent: () => boolean
  started: (start: StreamStart) => void
  /** @param sequence 1 for the first token. @param data the chunk as JSON text. */
  token: (sequence: number, data: string) => void
  finished: (end: StreamEnd) => void
  failed: (failure: Failure) => void
}

export interface GenerateStream {
  /** Asks the engine to stop; the listener gets no further calls. */
  cancel: Cancellation
  /** Closes the connection and lets the engine continue; the listener gets no further calls. */
  detach: () => void
  /** Stops reading, so that backpressure reaches the engine. */
  pause: () => void
  resume: () => void
}

export interface LoadReport {
  readonly incarnation: string
  readonly weightsVersion: string
  readonly running: number
  readonly waiting: number
  /** Uncached prompt tokens waiting for prefill. */
  readonly waitingTokens: number
  readonly cacheTokensUsed: number
  readonly leaving: boolean
  /** The engine's clock when the report was made, milliseconds of Unix time. */
  readonly madeAt: number
}

/** The narrow interface to one backend server that runs models. */
export interface Engine {
  generate: (call: GenerateCall, listener: GenerateListener) => GenerateStream
  /** Resumes a stream after the given sequence. */
  resume: (call: ResumeCall, listener: GenerateListener) => GenerateStream
  /** Cancels work by the id of its stream or request; success is not reported. */
  cancel: (id: string) => void
  load: () => Promise<Either<Failure, LoadReport>>
}
