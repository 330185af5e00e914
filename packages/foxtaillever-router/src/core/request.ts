/**
 * A row of the request table: one accepted request, until its answer is complete
 * or its failure is reported.
 */
import { Verdict, type EnginePath, type Failure, type GenerateStream, type Prompt, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import type { Grant } from 'foxtaillever-fleet'
import type { Job } from 'foxtaillever-policy'

export enum RequestState {
  /** Waits for a backend server; nothing has been sent. */
  Waiting = 'waiting',
  /** Assigned; its claim is being written to the log. */
  Claiming = 'claiming',
  /** Sent to a backend server; no event has been received. */
  Sent = 'sent',
  /** The backend server has begun to answer. */
  Streaming = 'streaming',
  Done = 'done'
}

/** Where a disconnected caller resumes its stream. */
export interface StreamPosition {
  readonly server: string
  readonly incarnation: string
  readonly weightsVersion: string
  readonly streamId: string
  /** Id of the attempt at the engine. */
  readonly requestId: string
  /** Number of tokens that the caller has. */
  readonly after: number
}

/** Receives the answer on the caller's behalf; the last call is exactly one of finished and failed. */
export interface Responder {
  /** @param position where the stream can be resumed. */
  started: (start: StreamStart, position: StreamPosition) => void
  /** The answer continues from a new stream or connection. */
  moved?: (position: StreamPosition) => void
  /**
   * @param sequence 1 for the first token of the whole answer.
   * @returns false when the caller reads too slowly and the engine must be paused.
   */
  token: (sequence: number, data: string) => boolean
  finished: (end: StreamEnd) => void
  failed: (failure: Failure) => void
}

/** A validated request of a caller. */
export interface Submission {
  readonly job: Job
  readonly prompt: Prompt
  readonly path: EnginePath.Completions | EnginePath.ChatCompletions
  readonly body: Readonly<Record<string, unknown>>
  /** Empty when the caller gave none. */
  readonly idempotencyKey: string
}

/** One row of the request table. */
export interface RequestRow {
  readonly submission: Submission
  readonly responder: Responder
  /** Whether the scheduler has the job; a resumed stream is not scheduled. */
  readonly isScheduled: boolean
  state: RequestState
  /** Counts connections; an event from an earlier one is dropped. */
  epoch: number
  /** Counts attempts; each has its own id at the engine, so that a late cancel hits no later attempt. */
  attempts: number
  server: string
  /** Id of the current attempt at the engine. */
  engineId: string
  stream: GenerateStream | undefined
  /** Whether a byte of the current attempt may have been sent. */
  isSent: boolean
  /** Whether something was sent without later proof that it did not run. */
  isUnproven: boolean
  /** Start of the current attempt's stream. */
  start: StreamStart | undefined
  /** Incarnation that must serve the current stream; empty when any may. */
  expected: string
  /** Resumes of the current stream since its last token. */
  resumes: number
  /** Worst verdict of all earlier attempts. */
  verdict: Verdict
  /** Weights version that the answer uses; empty before it starts. */
  weightsVersion: string
  /** Whether the start of the answer was reported to the caller. */
  isAnswering: boolean
  /** Tokens passed to the caller over all attempts. */
  delivered: number
  grant: Grant | undefined
}

export function createRow (submission: Submission, responder: Responder, isScheduled: boolean): RequestRow {
  return {
    submission,
    responder,
    isScheduled,
    state: RequestState.Waiting,
    epoch: 0,
    attempts: 0,
    server: '',
    engineId: '',
    stream: undefined,
    isSent: false,
    isUnproven: false,
    start: undefined,
    expected: '',
    resumes: 0,
    verdict: Verdict.NotRun,
    weightsVersion: '',
    isAnswering: false,
    delivered: 0,
    grant: undefined
  }
}

/** Where the stream that has just started or resumed can be resumed later. */
export function positionOf (row: RequestRow, { streamId, incarnation, weightsVersion }: StreamStart): StreamPosition {
  return { server: row.server, streamId, incarnation, weightsVersion, requestId: row.engineId, after: row.delivered }
}
