/**
 * Accepts or refuses new jobs: checks the rules that a job must pass before it
 * waits, in order, and charges the account for it.
 */
import { Failure, FailureCode, presetOf, type ClientAccount, type Configuration, type Preset, type StreamEnd } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { AttemptTable } from '../attempts/attemptTable.js'
import type { Job } from '../job.js'
import { AccountLimits } from '../limits/accountLimits.js'
import { DemandShare } from '../limits/shareOfLimit.js'
import type { WaitingJob } from '../order/waitingJob.js'
import type { WaitingJobs } from '../order/waitingJobs.js'
import type { ServerTable } from '../servers/serverTable.js'
import { Standing } from '../servers/serverHealth.js'
import { Suspicion, type SuspectTable } from '../suspects/suspectTable.js'
import { checkAdmission, AdmissionRule } from './checkAdmission.js'
import { CostEstimator, type JobCost } from './costEstimator.js'
import { DrainRate } from './drainRate.js'

/** Names of the rules that refuse, besides those of admission and limits. */
export enum IntakeRule {
  Quarantine = 'quarantine',
  NoServer = 'no-backend-server',
  Displaced = 'displaced-by-higher-class'
}

/** A failure with the name of the rule that caused it. */
export interface RuledFailure {
  readonly rule: string
  readonly failure: Failure
}

export interface IntakeOptions {
  readonly fleet: ServerTable
  readonly waitingJobs: WaitingJobs
  readonly attempts: AttemptTable
  readonly suspects: SuspectTable
  /** Refuses a waiting job to make room for one of a higher class. */
  readonly displace: (entry: WaitingJob, refusal: RuledFailure) => void
}

export class Intake {
  readonly costs = CostEstimator.create()
  readonly drain = DrainRate.create()
  readonly share = DemandShare.create()
  private readonly limits = AccountLimits.create(this.share)
  private accounts: Configuration['accounts'] = {}
  private preset: Preset | undefined

  private constructor (private readonly options: IntakeOptions) {}

  static create (options: IntakeOptions): Intake {
    return new Intake(options)
  }

  configure (configuration: Configuration): void {
    this.accounts = configuration.accounts
    this.preset = presetOf(configuration)
    this.costs.setMeanSpeed(this.options.fleet.list().map(({ configured }) => configured))
  }

  /** Returns the job as it will wait, or the refusal. */
  acceptJob (job: Job, now: number): Either<RuledFailure, WaitingJob> {
    const cost = this.costs.estimateCost(job)
    const tokens = cost.uncachedTokens + cost.completionTokens
    const account = this.accounts[job.account]
    const weight = Math.max(Number.EPSILON, account?.weight ?? 1)
    this.share.recordDemand(job.account, tokens, now)
    const refusal = this.checkModel(job) ?? this.checkSuspect(job, now) ??
      this.checkLimits(account, now) ?? this.checkQueue(job, cost, weight, now)
    if (refusal) {
      return Left(refusal)
    }
    this.limits.recordStart(job.account, tokens)
    return Right(createWaitingJob(job, cost, weight, now))
  }

  /** Records the actual cost of a job, which improves the next estimate. */
  recordEnd (entry: WaitingJob, end: StreamEnd): void {
    this.costs.recordAnswer(entry.job, end)
    const actual = this.costs.costOfAnswer(end)
    this.options.waitingJobs.queue.classOf(entry.job.priority).correctCharge(entry.job.account, actual.slotMs - entry.cost, entry.weight)
    this.refundUnusedTokens(entry, actual.uncachedTokens + actual.completionTokens)
  }

  /** Refunds the account for charged tokens that the ended job did not use. */
  refundUnusedTokens (entry: WaitingJob, usedTokens: number): void {
    this.limits.recordEnd(entry.job.account, entry.tokens, usedTokens)
  }

  /** Refusal of a job that is suspected of crashing servers. */
  createQuarantineRefusal (job: Job): RuledFailure {
    const until = this.options.suspects.quarantinedUntil(job.fingerprint)
    return { rule: IntakeRule.Quarantine, failure: Failure.notRun(FailureCode.Quarantined, 'This request was in flight when two backend servers crashed.', until) }
  }

  private checkModel ({ model }: Job): RuledFailure | undefined {
    return this.options.fleet.isServed(model)
      ? undefined
      : { rule: IntakeRule.NoServer, failure: Failure.notRun(FailureCode.NoBackendServer, `No backend server in service has model ${model}.`) }
  }

  private checkSuspect (job: Job, now: number): RuledFailure | undefined {
    return this.options.suspects.suspicionOf(job.fingerprint, now) === Suspicion.Quarantined ? this.createQuarantineRefusal(job) : undefined
  }

  private checkLimits (account: ClientAccount | undefined, now: number): RuledFailure | undefined {
    return account && this.limits.check(account, this.options.attempts.serviceMs, now)
  }

  private checkQueue (job: Job, cost: JobCost, weight: number, now: number): RuledFailure | undefined {
    const { waitingJobs: { queue }, displace } = this.options
    const { queueLimit = 0, floorShare = 0 } = this.preset ?? {}
    const drainRate = this.drain.value
    const rejection = checkAdmission({ job, cost, weight, queue, queueLimit, floorShare, drainRate, freeSlots: this.freeSlots(job, now), now })
    const displaced = rejection?.rule === AdmissionRule.QueueFull ? queue.findDisplaceable(job.priority) : undefined
    if (!displaced) {
      return rejection
    }
    const retryAt = Math.ceil(now + displaced.cost / drainRate)
    displace(displaced, { rule: IntakeRule.Displaced, failure: Failure.notRun(FailureCode.Overloaded, 'Requests of a higher class took the place.', retryAt) })
    return undefined
  }

  /** Requests that the servers of the model could take now; counts only up to one more than wait. */
  private freeSlots ({ model }: Job, now: number): number {
    const enough = this.options.waitingJobs.queue.size + 1
    let free = 0
    for (const server of this.options.fleet.readyFor(model)) {
      if (server.health.standing === Standing.Open) {
        free += Math.max(0, server.roomBesidePriority(now) - server.load.occupancy(now))
      }
      if (free >= enough) {
        break
      }
    }
    return free
  }
}

function createWaitingJob (job: Job, cost: JobCost, weight: number, now: number): WaitingJob {
  // Estimates may be twice too long, so a job expires only when not even half the estimated decode fits.
  const minRunMs = Math.min(cost.decodeMs / 2, (job.deadline - now) / 2)
  return {
    job,
    weight,
    cost: cost.slotMs,
    decodeMs: cost.decodeMs,
    tokens: cost.uncachedTokens + cost.completionTokens,
    latestStart: job.deadline - minRunMs,
    failedAt: [],
    attempts: 0,
    notBefore: now,
    holdUntil: Infinity,
    gone: false,
    turn: 0,
    sequence: 0
  }
}
