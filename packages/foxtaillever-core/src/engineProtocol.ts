/**
 * The published protocol of a model engine, as this system uses it. The
 * stand-in engine speaks it; another wire format costs one adapter.
 */
import type { Either } from 'purify-ts'
import type { Cancellation } from './clock.js'
import type { Failure } from './verdict.js'

/** Header names beyond the usual ones of the completions protocol. */
export enum EngineHeader {
  RequestId = 'x-request-id',
  /** Keeps cached blocks of client accounts apart. */
  Account = 'x-cache-account',
  /** The engine refuses, not run, when its own differs. */
  ExpectedIncarnation = 'x-expected-incarnation',
  ExpectedWeights = 'x-expected-weights',
  Priority = 'x-priority',
  /** Milliseconds of Unix time. */
  Deadline = 'x-deadline',
  /** Tokens delivered so far by an earlier engine; the answer goes on after them. */
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

/** First event of a stream, id 0. */
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
  /** Empty when any will do. */
  readonly expectedIncarnation: string
  readonly priority: string
  /** Milliseconds of Unix time. */
  readonly deadline: number
  /** Chat or plain completion; decides path and chunk form. */
  readonly path: EnginePath.Completions | EnginePath.ChatCompletions
  /** The caller's body, checked, with `stream` set. */
  readonly body: Readonly<Record<string, unknown>>
  /** Tokens already delivered by an earlier engine. */
  readonly continueAfter: number
  /** Of a request that runs at most once; empty for the others. */
  readonly idempotencyKey: string
}

/** Takes a stream up again at the engine that has it. */
export interface ResumeCall {
  readonly streamId: string
  /** Tokens that need not be repeated. */
  readonly after: number
  readonly requestId: string
  readonly model: string
  readonly path: GenerateCall['path']
}

/** Receives what comes of one call; exactly one of finished and failed comes last. */
export interface GenerateListener {
  /**
   * The first byte is about to leave; a loss before this word is proven NotRun.
   * @returns false to hold the byte back; the call then fails as not run.
   */
  sent: () => boolean
  started: (start: StreamStart) => void
  /** @param sequence 1 for the first token. @param data the chunk as JSON text. */
  token: (sequence: number, data: string) => void
  finished: (end: StreamEnd) => void
  failed: (failure: Failure) => void
}

export interface GenerateStream {
  /** Tells the engine to stop; no further word comes to the listener. */
  cancel: Cancellation
  /** Closes the connection and lets the engine go on; no further word comes to the listener. */
  detach: () => void
  /** Stops reading, so that the engine is pressed back. */
  pause: () => void
  resume: () => void
}

export interface LoadReport {
  readonly incarnation: string
  readonly weightsVersion: string
  readonly running: number
  readonly waiting: number
  /** Uncached prompt tokens that wait for prefill. */
  readonly waitingTokens: number
  readonly cacheTokensUsed: number
  readonly leaving: boolean
  /** The engine's clock when the report was made, milliseconds of Unix time. */
  readonly madeAt: number
}

/** The narrow interface to one backend server that runs models. */
export interface Engine {
  generate: (call: GenerateCall, listener: GenerateListener) => GenerateStream
  /** Goes on with a stream after the given sequence. */
  resume: (call: ResumeCall, listener: GenerateListener) => GenerateStream
  /** Stops work by the id of its stream or request; tells nobody whether it worked. */
  cancel: (id: string) => void
  load: () => Promise<Either<Failure, LoadReport>>
}
