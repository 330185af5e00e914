/**
 * The way in: every rule that a job has to pass before it waits, in the order
 * in which they are asked, and what the account is charged for it.
 */
import { Failure, FailureCode, presetOf, type ClientAccount, type Configuration, type Preset, type StreamEnd } from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { AttemptTable } from '../attempts/attemptTable.js'
import type { Job } from '../job.js'
import { AccountLimits } from '../limits/accountLimits.js'
import { DemandShare } from '../limits/shareOfLimit.js'
import type { WaitingJob } from '../order/waitingJob.js'
import type { WaitingRoom } from '../order/waitingRoom.js'
import type { ServerTable } from '../servers/serverTable.js'
import { Standing } from '../servers/serverHealth.js'
import { Suspicion, type SuspectTable } from '../suspects/suspectTable.js'
import { admit, AdmissionRule } from './admission.js'
import { CostEstimate, type JobCost } from './costEstimate.js'
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
  readonly room: WaitingRoom
  readonly attempts: AttemptTable
  readonly suspects: SuspectTable
  /** Gives up a waiting job for one of a higher class. */
  readonly displace: (entry: WaitingJob, refusal: RuledFailure) => void
}

export class Intake {
  readonly costs = CostEstimate.create()
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
    this.costs.setSpeed(this.options.fleet.list().map(({ configured }) => configured))
  }

  /** The job as it will wait, or why it may not. */
  take (job: Job, now: number): Either<RuledFailure, WaitingJob> {
    const cost = this.costs.estimate(job)
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
    return Right(createEntry(job, cost, weight, now))
  }

  /** Takes what a job did cost, so that the next estimate is better. */
  observeEnd (entry: WaitingJob, end: StreamEnd): void {
    this.costs.observe(entry.job, end)
    const actual = this.costs.measure(end)
    this.options.room.queue.classOf(entry.job.priority).correct(entry.job.account, actual.slotMs - entry.cost, entry.weight)
    this.settle(entry, actual.uncachedTokens + actual.completionTokens)
  }

  /** The job is over; the account gets back what it was charged beyond the tokens used. */
  settle (entry: WaitingJob, usedTokens: number): void {
    this.limits.recordEnd(entry.job.account, entry.tokens, usedTokens)
  }

  /** Refusal of a job that is taken for the cause of crashes. */
  quarantineOf (job: Job): RuledFailure {
    const until = this.options.suspects.quarantinedUntil(job.fingerprint)
    return { rule: IntakeRule.Quarantine, failure: Failure.notRun(FailureCode.Quarantined, 'This request was in flight when two backend servers crashed.', until) }
  }

  private checkModel ({ model }: Job): RuledFailure | undefined {
    return this.options.fleet.isServed(model)
      ? undefined
      : { rule: IntakeRule.NoServer, failure: Failure.notRun(FailureCode.NoBackendServer, `No backend server in service has model ${model}.`) }
  }

  private checkSuspect (job: Job, now: number): RuledFailure | undefined {
    return this.options.suspects.suspicionOf(job.fingerprint, now) === Suspicion.Quarantined ? this.quarantineOf(job) : undefined
  }

  private checkLimits (account: ClientAccount | undefined, now: number): RuledFailure | undefined {
    return account && this.limits.check(account, this.options.attempts.serviceMs, now)
  }

  private checkQueue (job: Job, cost: JobCost, weight: number, now: number): RuledFailure | undefined {
    const { room: { queue }, displace } = this.options
    const { queueLimit = 0, floorShare = 0 } = this.preset ?? {}
    const drainRate = this.drain.value
    const rejection = admit({ job, cost, weight, queue, queueLimit, floorShare, drainRate, freeSlots: this.freeSlots(job, now), now })
    const displaced = rejection?.rule === AdmissionRule.QueueFull ? queue.displacedBy(job.priority) : undefined
    if (!displaced) {
      return rejection
    }
    const retryAt = Math.ceil(now + displaced.cost / drainRate)
    displace(displaced, { rule: IntakeRule.Displaced, failure: Failure.notRun(FailureCode.Overloaded, 'Requests of a higher class took the place.', retryAt) })
    return undefined
  }

  /** Requests that the servers of the model could take at once; counted as far as it matters. */
  private freeSlots ({ model }: Job, now: number): number {
    const enough = this.options.room.queue.size + 1
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

function createEntry (job: Job, cost: JobCost, weight: number, now: number): WaitingJob {
  // Estimates may be twice too long; a job is given up only when half of it cannot be done.
  const leastMs = Math.min(cost.decodeMs / 2, (job.deadline - now) / 2)
  return {
    job,
    weight,
    cost: cost.slotMs,
    decodeMs: cost.decodeMs,
    tokens: cost.uncachedTokens + cost.completionTokens,
    latestStart: job.deadline - leastMs,
    failedAt: [],
    attempts: 0,
    notBefore: now,
    holdUntil: Infinity,
    gone: false,
    turn: 0,
    sequence: 0
  }
}
