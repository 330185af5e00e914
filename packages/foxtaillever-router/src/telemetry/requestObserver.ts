/**
 * What the router core reports about each request, for logs, metrics and
 * explanations. Every request that arrives ends with exactly one of refused,
 * failed, finished and cancelled.
 */
import type { Failure, StreamEnd, StreamStart } from 'foxtaillever-core'
import type { Assignment, Job } from 'foxtaillever-policy'

export interface RequestObserver {
  arrived: (job: Job) => void
  /** @param rule the rule that refused the request, or the failure's code if there is none. */
  refused: (job: Job, rule: string, failure: Failure) => void
  assigned: (job: Job, assignment: Assignment) => void
  /** The claim of the request won in the log. */
  claimed: (job: Job, server: string) => void
  started: (job: Job, server: string, start: StreamStart) => void
  firstToken: (job: Job, server: string) => void
  /** An attempt failed and the job waits again. */
  retried: (job: Job, server: string, failure: Failure) => void
  failed: (job: Job, server: string, failure: Failure) => void
  finished: (job: Job, server: string, end: StreamEnd) => void
  cancelled: (job: Job, server: string) => void
}

const ignore = (): void => {}

/** Ignores all reports. */
export const noObserver: RequestObserver = {
  arrived: ignore,
  refused: ignore,
  assigned: ignore,
  claimed: ignore,
  started: ignore,
  firstToken: ignore,
  retried: ignore,
  failed: ignore,
  finished: ignore,
  cancelled: ignore
}
