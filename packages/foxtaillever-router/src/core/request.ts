/**
 * The entity of the request table: one accepted request until its answer is
 * complete or its failure is told.
 */
import { Verdict, type EnginePath, type Failure, type GenerateStream, type Prompt, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import type { Grant } from 'foxtaillever-fleet'
import type { Job } from 'foxtaillever-policy'

export enum RequestState {
  /** Waits for a backend server; nothing has left. */
  Waiting = 'waiting',
  /** Assigned; its claim is being written to the log. */
  Claiming = 'claiming',
  /** Handed to a backend server; no event has come back. */
  Sent = 'sent',
  /** The backend server has begun to answer. */
  Streaming = 'streaming',
  Done = 'done'
}

/** Where a caller that was cut off takes its stream up again. */
export interface StreamPosition {
  readonly server: string
  readonly incarnation: string
  readonly weightsVersion: string
  readonly streamId: string
  /** Id of the try at the engine. */
  readonly requestId: string
  /** Tokens that the caller has. */
  readonly after: number
}

/** Receives the answer on the caller's behalf; exactly one of finished and failed comes last. */
export interface Responder {
  /** @param position where the stream can be taken up again. */
  started: (start: StreamStart, position: StreamPosition) => void
  /** The answer goes on from another backend server. */
  moved?: (position: StreamPosition) => void
  /**
   * @param sequence 1 for the first token of the whole answer.
   * @returns false when the caller reads too slowly and the engine must be held back.
   */
  token: (sequence: number, data: string) => boolean
  finished: (end: StreamEnd) => void
  failed: (failure: Failure) => void
}

/** What a caller hands in, checked. */
export interface Submission {
  readonly job: Job
  readonly prompt: Prompt
  readonly path: EnginePath.Completions | EnginePath.ChatCompletions
  readonly body: Readonly<Record<string, unknown>>
  /** Empty when the caller named none. */
  readonly idempotencyKey: string
}

/** One row of the request table. */
export interface RequestRow {
  readonly submission: Submission
  readonly responder: Responder
  /** Whether the scheduler knows of it; a stream taken up again is not scheduled. */
  readonly isScheduled: boolean
  state: RequestState
  /** Counts connections; a word from an earlier one is dropped. */
  epoch: number
  /** Counts tries; each has its own id at the engine, so that a late cancel hits no later try. */
  tries: number
  server: string
  /** Id of the present try at the engine. */
  engineId: string
  stream: GenerateStream | undefined
  /** Whether a byte of the present try may have left. */
  isSent: boolean
  /** Whether some byte left for which no proof came that nothing ran. */
  isUnproven: boolean
  /** The present try's start. */
  start: StreamStart | undefined
  /** Incarnation at which the present stream must be. */
  expected: string
  /** Resumes of the present stream since its last token. */
  resumes: number
  /** Of all tries that are over, taken together. */
  verdict: Verdict
  /** Weights that gave the tokens so far; empty before the first. */
  weightsVersion: string
  /** Whether the caller was told that an answer began. */
  isAnswering: boolean
  /** Tokens handed to the caller over all tries. */
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
    tries: 0,
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

/** Where the stream that has just started, or started again, can be taken up. */
export function positionOf (row: RequestRow, { streamId, incarnation, weightsVersion }: StreamStart): StreamPosition {
  return { server: row.server, streamId, incarnation, weightsVersion, requestId: row.engineId, after: row.delivered }
}
