/**
 * Admission: takes in what will be answered in time and refuses the rest at
 * once, with the time at which a new try would be taken in.
 *
 * Without it a queue at twice the capacity grows until every answer comes after
 * its deadline: the fleet works at full load and no caller gets anything. One
 * notices goodput falling towards nothing while the servers are busy. A refused
 * caller that returns at once makes it worse, so the time given must be true.
 */
import { Failure, FailureCode } from 'foxtaillever-core'
import type { Job } from '../job.js'
import type { FairQueue } from '../order/fairQueue.js'
import type { JobCost } from './costEstimate.js'

/**
 * Share of the time left that a job may be expected to wait. The other half is
 * for its own work and for what the estimate does not see: work of a higher
 * class that comes later, a server that fails.
 */
const WAIT_SHARE = 0.5

/** One account may fill this much of the queue, so that others always find room. */
const ACCOUNT_QUEUE_SHARE = 0.5

/** Shortest time after which a refused caller is asked to come again, milliseconds. */
const LEAST_RETRY_MS = 100

/** Names of the rules, as explanations give them. */
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
  /** Cost served a millisecond. */
  readonly drainRate: number
  /** Requests that the ready servers could take at once, without waiting. */
  readonly freeSlots: number
  readonly now: number
}

export interface Rejection {
  readonly rule: AdmissionRule
  readonly failure: Failure
}

/** Expected wait of the job before it is sent, milliseconds. */
export function expectWait (input: AdmissionInput): number {
  const { job, cost, weight, queue, drainRate } = input
  if (input.freeSlots > queue.size) {
    return 0
  }
  const own = queue.classOf(job.priority)
  const activeWeight = own.activeWeight + (own.waitingOf(job.account) === 0 ? weight : 0)
  // Fair order: the account gets its weight's part, and never has to wait for more than all.
  const fair = (own.workOf(job.account) + cost.slotMs) * activeWeight / weight
  const ahead = Math.min(own.work + cost.slotMs, fair)
  const above = queue.workAbove(job.priority)
  return Math.min(above + ahead, ahead / floorOf(input)) / drainRate
}

/** Share of the service that the job's class gets at least. */
function floorOf ({ job, queue, floorShare }: AdmissionInput): number {
  return queue.workAbove(job.priority) === 0 ? 1 : Math.max(Number.EPSILON, floorShare)
}

function refuse (rule: AdmissionRule, code: FailureCode, message: string, retryAt: number): Rejection {
  return { rule, failure: Failure.notRun(code, message, Math.ceil(retryAt)) }
}

function checkDeadline (input: AdmissionInput): Rejection | undefined {
  const { job, now } = input
  const left = job.deadline - now
  if (left <= 0) {
    return { rule: AdmissionRule.Deadline, failure: Failure.notRun(FailureCode.DeadlinePassed, 'The deadline had passed on arrival.') }
  }
  const waitMs = expectWait(input)
  const mostMs = left * WAIT_SHARE
  if (waitMs <= mostMs) {
    return undefined
  }
  // A try with the same time left is taken in once the queue is that much shorter.
  const retryAt = now + Math.max(LEAST_RETRY_MS, waitMs - mostMs)
  return refuse(AdmissionRule.Unreachable, FailureCode.DeadlineUnreachable, 'The queue is too long for the deadline.', retryAt)
}

function checkQueue (input: AdmissionInput): Rejection | undefined {
  const { job, cost, queue, queueLimit, drainRate, now } = input
  const retryAt = now + Math.max(LEAST_RETRY_MS, cost.slotMs / drainRate)
  if (queue.classOf(job.priority).waitingOf(job.account) >= Math.max(1, queueLimit * ACCOUNT_QUEUE_SHARE)) {
    return refuse(AdmissionRule.AccountQueue, FailureCode.Overloaded, 'Too many requests of this client account wait.', retryAt)
  }
  if (queue.size >= queueLimit) {
    return refuse(AdmissionRule.QueueFull, FailureCode.Overloaded, 'Too many requests wait at this instance.', retryAt)
  }
  return undefined
}

/** Undefined when the job is taken in. */
export function admit (input: AdmissionInput): Rejection | undefined {
  return checkDeadline(input) ?? checkQueue(input)
}
