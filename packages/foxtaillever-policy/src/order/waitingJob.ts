/** A job as it waits at this instance. */
import type { Job } from '../job.js'

export interface WaitingJob {
  readonly job: Job
  /** What the account is charged, milliseconds of a server's slot. */
  readonly cost: number
  /** The same as tokens of uncached prefill and decode, for the account's limit. */
  readonly tokens: number
  /** Part of the cost that is decode, milliseconds. */
  readonly decodeMs: number
  readonly weight: number
  /** Started later than this it cannot end in time, milliseconds of Unix time. */
  readonly latestStart: number
  /** Backend servers that failed it. */
  readonly failedAt: readonly string[]
  readonly attempts: number
  /** A retry is not sent before this, milliseconds of Unix time. */
  readonly notBefore: number
  /** Until then it may wait for a better server; set when it first does. */
  holdUntil: number
  /** Withdrawn, refused or sent; heaps drop it when they meet it. */
  gone: boolean
  /** Place in the fair order: virtual time at which its turn comes. */
  turn: number
  /** Rises with each job taken in; decides between equal turns. */
  sequence: number
}
