/**
 * The entity of the request table: one accepted request until its answer is
 * complete or its failure is told.
 */
import type { EnginePath, Failure, GenerateStream, Prompt, StreamEnd, StreamStart } from 'foxtaillever-core'
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

/** Receives the answer on the caller's behalf; exactly one of finished and failed comes last. */
export interface Responder {
  started: (start: StreamStart) => void
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
  state: RequestState
  /** Counts tries; a word from an earlier try is dropped. */
  attempt: number
  server: string
  stream: GenerateStream | undefined
  /** Whether a byte of the present try may have left. */
  sent: boolean
  start: StreamStart | undefined
  /** Tokens handed to the caller over all tries. */
  delivered: number
}
