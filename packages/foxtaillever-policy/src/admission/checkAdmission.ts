/**
 * Admission control: accepts jobs that can be answered in time and refuses the
 * others at once, with the time at which a retry would be accepted.
 *
 * Without it, a queue at twice the capacity grows until every answer comes after
 * its deadline: the fleet runs at full load and no caller gets an answer in time.
 * The symptom is a goodput that falls towards zero while the servers are busy.
 * Refused callers that retry at once add to the load, so the retry time must be
 * accurate.
 */
import { Failure, FailureCode } from 'foxtaillever-core'
import type { Job } from '../job.js'
import type { FairQueue } from '../order/fairQueue.js'
import type { JobCost } from './costEstimator.js'

/**
 * Maximum share of the time left that a job may be expected to wait. The rest is
 * for its own work and for what the estimate does not include: later work of a
 * higher class, a server that fails.
 */
const MAX_WAIT_SHARE = 0.5

/** Maximum share of the queue for one account, so that others always find room. */
const ACCOUNT_QUEUE_SHARE = 0.5

/** Minimum time after which a refused caller is asked to retry, milliseconds. */
const MIN_RETRY_MS = 100

/** Names of the rules, as explanations show them. */
export enum AdmissionRule {
  Deadline = 'deadline',
  Unreachable = 'deadline-unreachable',
  QueueFull = 'queue-full',
  AccountQueue = 'account-queue-share'
}

export interface AdmissionInput {
  readonly job: Job
  readonly cost: JobCost
  readonly weight: number
  readonly queue: FairQueue
  readonly queueLimit: number
  readonly floorShare: number
  /** Served cost a millisecond. */
  readonly drainRate: number
  /** Requests that the ready servers could take at once, without waiting. */
  readonly freeSlots: number
  readonly now: number
}

export interface AdmissionRejection {
  readonly rule: AdmissionRule
  readonly failure: Failure
}

/** Expected wait of the job before it is sent, milliseconds. */
export function estimateWait (input: AdmissionInput): number {
  const { job, cost, weight, queue, drainRate } = input
  if (input.freeSlots > queue.size) {
    return 0
  }
  const own = queue.classOf(job.priority)
  const activeWeight = own.activeWeight + (own.waitingOf(job.account) === 0 ? weight : 0)
  // In fair order the account gets the share of its weight, and never waits for more than all work of the class.
  const fair = (own.workOf(job.account) + cost.slotMs) * activeWeight / weight
  const ahead = Math.min(own.work + cost.slotMs, fair)
  const above = queue.workAbove(job.priority)
  return Math.min(above + ahead, ahead / guaranteedShare(input)) / drainRate
}

/** Minimum share of the served cost that the job's class gets. */
function guaranteedShare ({ job, queue, floorShare }: AdmissionInput): number {
  return queue.workAbove(job.priority) === 0 ? 1 : Math.max(Number.EPSILON, floorShare)
}

function createRejection (rule: AdmissionRule, code: FailureCode, message: string, retryAt: number): AdmissionRejection {
  return { rule, failure: Failure.notRun(code, message, Math.ceil(retryAt)) }
}

function checkDeadline (input: AdmissionInput): AdmissionRejection | undefined {
  const { job, now } = input
  const leftMs = job.deadline - now
  if (leftMs <= 0) {
    return { rule: AdmissionRule.Deadline, failure: Failure.notRun(FailureCode.DeadlinePassed, 'The deadline had passed on arrival.') }
  }
  const waitMs = estimateWait(input)
  const maxWaitMs = leftMs * MAX_WAIT_SHARE
  if (waitMs <= maxWaitMs) {
    return undefined
  }
  // A retry with the same time left is accepted once the queue is that much shorter.
  const retryAt = now + Math.max(MIN_RETRY_MS, waitMs - maxWaitMs)
  return createRejection(AdmissionRule.Unreachable, FailureCode.DeadlineUnreachable, 'The queue is too long for the deadline.', retryAt)
}

function checkQueue (input: AdmissionInput): AdmissionRejection | undefined {
  const { job, cost, queue, queueLimit, drainRate, now } = input
  const retryAt = now + Math.max(MIN_RETRY_MS, cost.slotMs / drainRate)
  if (queue.classOf(job.priority).waitingOf(job.account) >= Math.max(1, queueLimit * ACCOUNT_QUEUE_SHARE)) {
    return createRejection(AdmissionRule.AccountQueue, FailureCode.Overloaded, 'Too many requests of this client account wait.', retryAt)
  }
  if (queue.size >= queueLimit) {
    return createRejection(AdmissionRule.QueueFull, FailureCode.Overloaded, 'Too many requests wait at this instance.', retryAt)
  }
  return undefined
}

/** Returns undefined when the job is accepted. */
export function checkAdmission (input: AdmissionInput): AdmissionRejection | undefined {
  return checkDeadline(input) ?? checkQueue(input)
}
