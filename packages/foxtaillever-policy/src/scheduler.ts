/**
 * The one face of all decisions towards the router. The router offers jobs,
 * reports what became of them and asks on each tick what to send and what to
 * refuse. No I/O, no clock, no randomness but what is passed in: the same calls
 * give the same decisions.
 */
import {
  emptyConfiguration, Failure, FailureCode, presetOf,
  type Configuration, type ListedState, type LoadReport, type Preset, type Random, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import type { Either } from 'purify-ts'
import { AdmissionRule } from './admission/admission.js'
import { Intake, type RuledFailure } from './admission/intake.js'
import { Attempt } from './attempts/attempt.js'
import { AttemptTable } from './attempts/attemptTable.js'
import type { Assignment, Decisions, Job, Refusal } from './job.js'
import type { AccountDemand } from './limits/shareOfLimit.js'
import { Dispatcher, type Dispatched } from './order/dispatcher.js'
import type { WaitingJob } from './order/waitingJob.js'
import { WaitingRoom } from './order/waitingRoom.js'
import { Placer } from './placement/placement.js'
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
  /** One way from this instance to other failure domains, milliseconds. */
  readonly distancesMs?: Readonly<Record<string, number>>
}

/** To a failure domain of the same region whose distance is not given. */
const DISTANCE_MS = 1

/** What to do with a job whose attempt failed. */
export enum Sequel {
  /** It waits again and will be assigned anew. */
  Retried = 'retried',
  /** The caller gets the failure now. */
  GivenUp = 'given-up'
}

export class Scheduler {
  private configuration: Configuration = emptyConfiguration
  private readonly fleet = ServerTable.create()
  private readonly room = WaitingRoom.create()
  private readonly budget = RetryBudget.create()
  private readonly suspects = SuspectTable.create()
  private readonly placer: Placer
  private readonly attempts: AttemptTable
  private readonly intake: Intake
  private readonly dispatcher: Dispatcher
  private instances = 1
  /** Time of the last call, for those that bring none. */
  private now = 0
  private assignments: Assignment[] = []
  private refusals: Refusal[] = []
  private readonly refusedByRule = new Map<string, number>()

  private constructor (private readonly options: SchedulerOptions) {
    const distanceTo = (domain: string): number => domain === options.failureDomain ? 0 : options.distancesMs?.[domain] ?? DISTANCE_MS
    this.placer = Placer.create({ fleet: this.fleet, random: options.random, distanceTo })
    this.attempts = AttemptTable.create(this.fleet, this.placer)
    const { fleet, room, placer, attempts, suspects } = this
    const displace = (entry: WaitingJob, refusal: RuledFailure): void => this.refuseWaiting(entry, refusal)
    this.intake = Intake.create({ fleet, room, attempts, suspects, displace })
    this.dispatcher = Dispatcher.create({
      fleet,
      placer,
      room,
      suspects,
      shares: attempts.shares,
      send: (dispatched, now) => this.send(dispatched, now),
      quarantine: entry => this.refuseWaiting(entry, this.intake.quarantineOf(entry.job))
    })
  }

  static create (options: SchedulerOptions): Scheduler {
    return new Scheduler(options)
  }

  /** Puts a newer configuration in force. */
  configure (configuration: Configuration, now: number): void {
    this.configuration = configuration
    this.fleet.configure(configuration, now)
    this.intake.configure(configuration)
    this.room.queue.setFloor(this.preset.floorShare)
    this.setDrainPrior()
  }

  /** Takes the instance list's word, or the server's own refusal, on a backend server. */
  observeListed (server: string, state: ListedState, _now: number): void {
    this.fleet.observeListed(server, state)
  }

  /** Takes a load report; it is late by the engine's lag. */
  observeLoad (server: string, report: LoadReport, now: number): void {
    this.suspects.recordIncarnation(server, report.incarnation, report.madeAt, now)
    this.fleet.observeLoad(server, report, now)
  }

  /**
   * Takes the number of entry instances, this one included.
   * @param index place of this one among them, in order of name.
   */
  observeInstances (count: number, index = 0): void {
    this.instances = Math.max(1, count)
    this.placer.observePlace({ index, count: this.instances })
    this.intake.share.setInstances(this.instances)
    this.fleet.instances = this.instances
    this.setDrainPrior()
  }

  /** Takes what a peer said of its accounts' demand; holds until it expires. */
  observeDemand (peer: string, demands: readonly AccountDemand[], expiresAt: number): void {
    this.intake.share.recordPeerDemand(peer, demands, expiresAt)
  }

  /** What to tell peers: demand of the accounts near their limit. */
  demandToShare (now: number): AccountDemand[] {
    return this.intake.share.demandsToAnnounce(account => this.configuration.accounts[account]?.tokensPerSecond ?? Infinity, now)
  }

  /** Takes what peers know of requests that may crash backend servers. */
  observeSuspects (facts: readonly SuspectFact[], now: number): void {
    this.suspects.receiveFacts(facts, now)
  }

  /** What to tell peers: requests that may crash backend servers. */
  suspectsToShare (now: number): SuspectFact[] {
    return this.suspects.factsToAnnounce(now)
  }

  /** Takes in a job, or refuses it at once. */
  offer (job: Job, now: number): Either<Failure, void> {
    this.now = now
    return this.intake.take(job, now).bimap(
      refusal => this.countRefusal(refusal),
      entry => this.takeIn(entry, now)
    )
  }

  /** Forgets a job whose caller has gone. */
  withdraw (jobId: string): void {
    const waiting = this.room.get(jobId)
    if (waiting) {
      this.room.remove(waiting)
      this.intake.settle(waiting, 0)
    }
    const attempt = this.attempts.get(jobId)
    if (attempt) {
      this.attempts.remove(attempt, this.now)
      this.intake.settle(attempt.entry, attempt.entry.tokens)
    }
  }

  /** Decides what to send and what to refuse now. */
  tick (now: number): Decisions {
    this.now = now
    this.fleet.tick(this.preset.ejectedShare, now)
    this.room.wakePaused(now)
    this.room.takeExpired(now).forEach(entry => this.refuse(entry, expiryOf(entry, now)))
    this.intake.drain.tick(this.room.queue.size > 0, now)
    this.dispatcher.run({
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

  /** The engine has begun to answer. */
  started (jobId: string, start: StreamStart, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (attempt) {
      this.suspects.recordIncarnation(attempt.server.name, start.incarnation, now, now)
      this.attempts.started(attempt, start, now)
    }
  }

  /** The first token came. */
  firstToken (jobId: string, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (attempt && attempt.firstTokenAt === 0) {
      this.attempts.firstToken(attempt, now)
    }
  }

  /** The answer is complete. */
  finished (jobId: string, end: StreamEnd, now: number): void {
    const attempt = this.attempts.get(jobId)
    if (!attempt) {
      return
    }
    const { entry } = attempt
    this.attempts.finished(attempt, end, now)
    this.suspects.clearSuspicion(entry.job.fingerprint, now)
    this.intake.observeEnd(entry, end)
  }

  /** An attempt failed; says whether the job waits again. */
  failed (jobId: string, failure: Failure, now: number): Sequel {
    const attempt = this.attempts.get(jobId)
    if (!attempt) {
      return Sequel.GivenUp
    }
    const { entry, server } = attempt
    this.attempts.failed(attempt, failure, this.preset.ejectedShare, now)
    if (isCrash(failure)) {
      this.suspects.recordLoss(entry.job.fingerprint, server.name, attempt.incarnation, now)
    }
    const notBefore = this.retryTime(attempt, failure, now)
    if (notBefore === undefined) {
      this.intake.settle(entry, entry.tokens)
      return Sequel.GivenUp
    }
    const failedAt = [...entry.failedAt, server.name]
    this.room.add({ ...entry, failedAt, attempts: entry.attempts + 1, notBefore, holdUntil: Infinity, gone: false }, now)
    return Sequel.Retried
  }

  /** State for the dump: plain data, bounded by servers and rules. */
  dump (): SchedulerState {
    return dumpScheduler({
      servers: this.fleet.list(),
      now: this.now,
      waiting: this.room.size,
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

  private setDrainPrior (): void {
    const slots = this.fleet.list().reduce((sum, { configured }) => sum + configured.slots, 0)
    this.intake.drain.setPrior(slots / this.instances)
  }

  private send ({ entry, placement, isLong, isSuspect }: Dispatched, now: number): void {
    const attempt = Attempt.create({ entry, placement, isLong, isSuspect, sentAt: now })
    this.room.serve(entry)
    this.intake.drain.serve(entry.cost)
    this.placer.sent(entry.job.id, placement, entry.decodeMs / placement.server.configured.slots, now)
    this.attempts.add(attempt)
    this.assignments.push({ jobId: entry.job.id, server: placement.server.name, candidates: placement.candidates, rule: this.preset.placement })
  }

  private retryTime ({ entry }: Attempt, failure: Failure, now: number): number | undefined {
    if (this.suspects.suspicionOf(entry.job.fingerprint, now) === Suspicion.Quarantined) {
      return undefined
    }
    const { job, latestStart } = entry
    return decideRetry({ job, failure, attempts: entry.attempts + 1, latestStart, now }, this.budget, this.options.random)
  }

  private refuseWaiting (entry: WaitingJob, refusal: RuledFailure): void {
    this.room.remove(entry)
    this.refuse(entry, refusal)
  }

  private refuse (entry: WaitingJob, refusal: RuledFailure): void {
    this.intake.settle(entry, 0)
    this.refusals.push({ jobId: entry.job.id, rule: refusal.rule, failure: this.countRefusal(refusal) })
  }

  private takeIn (entry: WaitingJob, now: number): void {
    this.budget.addFirstAttempt(this.preset.retryShare)
    this.room.add(entry, now)
  }

  private countRefusal ({ rule, failure }: RuledFailure): Failure {
    this.refusedByRule.set(rule, (this.refusedByRule.get(rule) ?? 0) + 1)
    return failure
  }
}

function expiryOf ({ job }: WaitingJob, now: number): RuledFailure {
  return job.deadline <= now
    ? { rule: AdmissionRule.Deadline, failure: Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed while the request waited.') }
    : { rule: AdmissionRule.Unreachable, failure: Failure.notRun(FailureCode.DeadlineUnreachable, 'The request can no longer be answered by its deadline.') }
}
