/**
 * What the router's core tells of each request, for logs, metrics and
 * explanations. Every request that arrives ends with exactly one of refused,
 * failed, finished and cancelled.
 */
import type { Failure, StreamEnd, StreamStart } from 'foxtaillever-core'
import type { Assignment, Job } from 'foxtaillever-policy'

export interface RequestObserver {
  arrived: (job: Job) => void
  /** @param rule that refused; the failure's code when no rule is named. */
  refused: (job: Job, rule: string, failure: Failure) => void
  assigned: (job: Job, assignment: Assignment) => void
  /** Sent under a claim that stands in the log. */
  claimed: (job: Job, server: string) => void
  started: (job: Job, server: string, start: StreamStart) => void
  firstToken: (job: Job, server: string) => void
  /** A try is over and the job waits again. */
  retried: (job: Job, server: string, failure: Failure) => void
  failed: (job: Job, server: string, failure: Failure) => void
  finished: (job: Job, server: string, end: StreamEnd) => void
  cancelled: (job: Job, server: string) => void
}

const nothing = (): void => {}

/** Where nobody wants to know. */
export const noObserver: RequestObserver = {
  arrived: nothing,
  refused: nothing,
  assigned: nothing,
  claimed: nothing,
  started: nothing,
  firstToken: nothing,
  retried: nothing,
  failed: nothing,
  finished: nothing,
  cancelled: nothing
}
