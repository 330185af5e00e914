/**
 * The interface of all scheduling decisions for the router. The router submits
 * jobs, reports the progress of their answers, and on each tick gets the jobs to
 * send and to refuse. There is no I/O; time and randomness are passed in, so the
 * same calls give the same decisions.
 */
import {
  emptyConfiguration, Failure, FailureCode, presetOf,
  type Configuration, type ListedState, type LoadReport, type Preset, type Random, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import { AdmissionRule } from './admission/checkAdmission.js'
import { Intake, type RuledFailure } from './admission/intake.js'
import { Attempt } from './attempts/attempt.js'
import { AttemptTable } from './attempts/attemptTable.js'
import type { Assignment, Decisions, Job, Refusal } from './job.js'
import type { AccountDemand } from './limits/shareOfLimit.js'
import { Dispatcher, type DispatchedJob } from './order/dispatcher.js'
import type { WaitingJob } from './order/waitingJob.js'
import { WaitingJobs } from './order/waitingJobs.js'
import { Placer } from './placement/placer.js'
import { decideRetry } from './retries/decideRetry.js'
import { RetryBudget } from './retries/retryBudget.js'
import { dumpScheduler, type SchedulerState } from './schedulerState.js'
import { ServerTable } from './servers/serverTable.js'
import { isCrash } from './suspects/isCrash.js'
import { SuspectTable, Suspicion, type SuspectFact } from './suspects/suspectTable.js'

export interface SchedulerOptions {
  readonly random: Random
  /** Failure domain of this instance. */
  readonly failureDomain: string
  /** One-way network latency from this instance to other failure domains, milliseconds. */
  readonly distancesMs?: Readonly<Record<string, number>>
}

/** Assumed one-way latency to a failure domain of the same region without a configured one. */
const DEFAULT_DISTANCE_MS = 1

/** What happens to a job whose attempt failed. */
export enum FailureOutcome {
  /** The job waits again for a retry. */
  Retried = 'retried',
  /** The caller gets the failure now. */
  Failed = 'given-up'
}

export class Scheduler {
  private configuration: Configuration = emptyConfiguration
  private readonly fleet = ServerTable.create()
  private readonly waitingJobs = WaitingJobs.create()
  private readonly budget = RetryBudget.create()
  private readonly suspects = SuspectTable.create()
  private readonly placer: Placer
  private readonly attempts: AttemptTable
  private readonly intake: Intake
  private readonly dispatcher: Dispatcher
  private instances = 1
  /** Time of the last call, for methods without a time parameter. */
  private now = 0
  private assignments: Assignment[] = []
  private refusals: Refusal[] = []
  private readonly refusedByRule = new Map<string, number>()

  private constructor (private readonly options: SchedulerOptions) {
    const distanceTo = (domain: string): number => domain === options.failureDomain ? 0 : options.distancesMs?.[domain] ?? DEFAULT_DISTANCE_MS
    this.placer = Placer.create({ fleet: this.fleet, random: options.random, distanceTo })
    this.attempts = AttemptTable.create(this.fleet, this.placer)
    const { fleet, waitingJobs, placer, attempts, suspects } = this
    const displace = (entry: WaitingJob, refusal: RuledFailure): void => this.refuseWaitingJob(entry, refusal)
    this.intake = Intake.create({ fleet, waitingJobs, attempts, suspects, displace })
    this.dispatcher = Dispatcher.create({
      fleet,
      placer,
      waitingJobs,
      suspects,
      shares: attempts.shares,
      send: (dispatched, now) => this.sendJob(dispatched, now),
      refuseQuarantined: entry => this.refuseWaitingJob(entry, this.intake.createQuarantineRefusal(entry.job))
    })
  }

  static create (options: SchedulerOptions): Scheduler {
    return new Scheduler(options)
  }

  /** Applies a newer configuration. */
  configure (configuration: Configuration, now: number): void {
    this.configuration = configuration
    this.fleet.configure(configuration, now)
    this.intake.configure(configuration)
    this.waitingJobs.queue.setFloorShare(this.preset.floorShare)
    this.updateDrainPrior()
  }

  /** Applies the state of a backend server from the instance list or from the server's own refusal. */
  applyListedState (server: string, state: ListedState, _now: number): void {
    this.fleet.applyListedState(server, state)
  }

  /** Applies a load report, which is delayed by the engine's lag. */
  applyLoadReport (server: string, report: LoadReport, now: number): void {
    this.suspects.recordIncarnation(server, report.incarnation, report.madeAt, now)
    this.fleet.applyLoadReport(server, report, now)
  }

  /**
   * Sets the number of entry instances, this one included.
   * @param index position of this instance among all instances sorted by name.
   */
  setInstances (count: number, index = 0): void {
    this.instances = Math.max(1, count)
    this.placer.setInstancePosition({ index, count: this.instances })
    this.intake.share.setInstances(this.instances)
    this.fleet.instances = this.instances
    this.updateDrainPrior()
  }

  /** Applies the demand that a peer announced for its accounts; valid until it expires. */
  applyPeerDemand (peer: string, demands: readonly AccountDemand[], expiresAt: number): void {
    this.intake.share.recordPeerDemand(peer, demands, expiresAt)
  }

  /** Demand to announce to peers, for accounts near their limit. */
  demandToAnnounce (now: number): AccountDemand[] {
    return this.intake.share.demandsToAnnounce(account => this.configuration.accounts[account]?.tokensPerSecond ?? Infinity, now)
  }

  /** Applies facts from peers about requests that may crash backend servers. */
  applySuspects (facts: readonly SuspectFact[], now: number): void {
    this.suspects.receiveFacts(facts, now)
  }

  /** Facts to announce to peers about requests that may crash backend servers. */
  suspectsToAnnounce (now: number): SuspectFact[] {
    return this.suspects.factsToAnnounce(now)
  }

  /** Accepts a job, or refuses it at once. */
  submitJob (job: Job, now: number): Either<Failure, void> {
    this.now = now
    return this.intake.acceptJob(job, now).bimap(
      refusal => this.countRefusal(refusal),
      entry => this.addJob(entry, now)
    )
  }

  /** Removes a job whose caller has disconnected. */
  withdrawJob (jobId: string): void {
    const waiting = this.waitingJobs.get(jobId)
    if (waiting) {
      this.waitingJobs.removeJob(waiting)
      this.intake.refundUnusedTokens(waiting, 0)
    }
    const attempt = this.attempts.get(jobId)
    if (attempt) {
      this.attempts.removeAttempt(attempt, this.now)
      this.intake.refundUnusedTokens(attempt.entry, attempt.entry.tokens)
    }
  }

  /** Decides which jobs to send and which to refuse now. */
  tick (now: number): Decisions {
    this.now = now
    this.fleet.tick(this.preset.ejectedShare, now)
    this.waitingJobs.resumePaused(now)
    this.waitingJobs.removeExpired(now).forEach(entry => this.refuseJob(entry, createExpiryRefusal(entry, now)))
    this.intake.drain.tick(this.waitingJobs.queue.size > 0, now)
    this.dispatcher.dispatchJobs({
      preset: this.preset,
      weightsVersionOf: model => this.configuration.models[model]?.weightsVersion ?? '',
      serviceMs: this.attempts.serviceMs,
      now
    })
    const { assignments, refusals } = this
    this.assignments = []
    this.refusals = []
    return { assignments, refusals }
  }

  /** Records that the engine has begun to answer. */
  recordStart (jobId: string, start: StreamStart, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (attempt) {
      this.suspects.recordIncarnation(attempt.server.name, start.incarnation, now, now)
      this.attempts.recordStart(attempt, start, now)
    }
  }

  /** Records the arrival of the first token. */
  recordFirstToken (jobId: string, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (attempt && attempt.firstTokenAt === 0) {
      this.attempts.recordFirstToken(attempt, now)
    }
  }

  /** Records that the answer is complete. */
  recordFinish (jobId: string, end: StreamEnd, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (!attempt) {
      return
    }
    const { entry } = attempt
    this.attempts.recordFinish(attempt, end, now)
    this.suspects.clearSuspicion(entry.job.fingerprint, now)
    this.intake.recordEnd(entry, end)
  }

  /** Records a failed attempt; returns whether the job waits for a retry. */
  recordFailure (jobId: string, failure: Failure, now: number): FailureOutcome {
    const attempt = this.attempts.get(jobId)
    if (!attempt) {
      return FailureOutcome.Failed
    }
    const { entry, server } = attempt
    this.attempts.recordFailure(attempt, failure, this.preset.ejectedShare, now)
    if (isCrash(failure)) {
      this.suspects.recordLoss(entry.job.fingerprint, server.name, attempt.incarnation, now)
    }
    const notBefore = this.decideRetryTime(attempt, failure, now)
    if (notBefore === undefined) {
      this.intake.refundUnusedTokens(entry, entry.tokens)
      return FailureOutcome.Failed
    }
    const failedAt = [...entry.failedAt, server.name]
    this.waitingJobs.addJob({ ...entry, failedAt, attempts: entry.attempts + 1, notBefore, holdUntil: Infinity, gone: false }, now)
    return FailureOutcome.Retried
  }

  /** State for the dump: plain data, bounded by the number of servers and rules. */
  dump (): SchedulerState {
    return dumpScheduler({
      servers: this.fleet.list(),
      now: this.now,
      waiting: this.waitingJobs.size,
      running: this.attempts.size,
      prefixes: this.placer.prefixes.size,
      suspects: this.suspects.size,
      retriesLeft: this.budget.left,
      drainRate: this.intake.drain.value,
      refusedByRule: Object.fromEntries(this.refusedByRule)
    })
  }

  private get preset (): Preset {
    return presetOf(this.configuration)
  }

  private updateDrainPrior (): void {
    const slots = this.fleet.list().reduce((sum, { configured }) => sum + configured.slots, 0)
    this.intake.drain.setPrior(slots / this.instances)
  }

  private sendJob ({ entry, placement, isLong, isSuspect }: DispatchedJob, now: number): void {
    const attempt = Attempt.create({ entry, placement, isLong, isSuspect, sentAt: now })
    this.waitingJobs.recordSent(entry)
    this.intake.drain.recordSent(entry.cost)
    this.placer.recordSend(entry.job.id, placement, entry.decodeMs / placement.server.configured.slots, now)
    this.attempts.addAttempt(attempt)
    this.assignments.push({ jobId: entry.job.id, server: placement.server.name, candidates: placement.candidates, rule: this.preset.placement })
  }

  private decideRetryTime ({ entry }: Attempt, failure: Failure, now: number): number | undefined {
    if (this.suspects.suspicionOf(entry.job.fingerprint, now) === Suspicion.Quarantined) {
      return undefined
    }
    const { job, latestStart } = entry
    return decideRetry({ job, failure, attempts: entry.attempts + 1, latestStart, now }, this.budget, this.options.random)
  }

  private refuseWaitingJob (entry: WaitingJob, refusal: RuledFailure): void {
    this.waitingJobs.removeJob(entry)
    this.refuseJob(entry, refusal)
  }

  private refuseJob (entry: WaitingJob, refusal: RuledFailure): void {
    this.intake.refundUnusedTokens(entry, 0)
    this.refusals.push({ jobId: entry.job.id, rule: refusal.rule, failure: this.countRefusal(refusal) })
  }

  private addJob (entry: WaitingJob, now: number): void {
    this.budget.addFirstAttempt(this.preset.retryShare)
    this.waitingJobs.addJob(entry, now)
  }

  private countRefusal ({ rule, failure }: RuledFailure): Failure {
    this.refusedByRule.set(rule, (this.refusedByRule.get(rule) ?? 0) + 1)
    return failure
  }
}

function createExpiryRefusal ({ job }: WaitingJob, now: number): RuledFailure {
  return job.deadline <= now
    ? { rule: AdmissionRule.Deadline, failure: Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed while the request waited.') }
    : { rule: AdmissionRule.Unreachable, failure: Failure.notRun(FailureCode.DeadlineUnreachable, 'The request can no longer be answered by its deadline.') }
}
