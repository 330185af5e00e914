/** A job that waits at this instance. */
import type { Job } from '../job.js'

export interface WaitingJob {
  readonly job: Job
  /** Cost charged to the account, milliseconds of a server's slot. */
  readonly cost: number
  /** The cost in tokens of uncached prefill and decode, for the account's limit. */
  readonly tokens: number
  /** Part of the cost that is decode, milliseconds. */
  readonly decodeMs: number
  readonly weight: number
  /** Latest start at which the job can still end in time, milliseconds of Unix time. */
  readonly latestStart: number
  /** Names of the backend servers where an attempt failed. */
  readonly failedAt: readonly string[]
  readonly attempts: number
  /** Earliest time at which a retry is sent, milliseconds of Unix time. */
  readonly notBefore: number
  /** End of the time that the job may be held for a better server; set when it is first held. */
  holdUntil: number
  /** Withdrawn, refused or sent; heaps drop such jobs later. */
  gone: boolean
  /** Position in the fair order: virtual start time of the job. */
  turn: number
  /** Rises with each added job; decides between equal turns. */
  sequence: number
}
