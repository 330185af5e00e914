/**
 * The one face of all decisions towards the router. The router offers jobs,
 * reports what became of them and asks on each tick what to send and what to
 * refuse. No I/O, no clock, no randomness but what is passed in: the same calls
 * give the same decisions.
 */
import {
  AdministrativeState, emptyConfiguration, Failure, FailureCode, isRepeatable, ListedState, presetOf, ServerKind,
  type BackendServer, type Configuration, type LoadReport, type Random, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { Left, Right, type Either } from 'purify-ts'
import type { Assignment, Decisions, Job, Refusal } from './job.js'
import { rankServers, type ServerView } from './placement.js'

export interface SchedulerOptions {
  readonly random: Random
  /** Failure domain of this instance. */
  readonly failureDomain: string
}

interface RunningJob {
  readonly job: Job
  readonly server: string
}

/** What to do with a job whose attempt failed. */
export enum Sequel {
  /** It waits again and will be assigned anew. */
  Retried = 'retried',
  /** The caller gets the failure now. */
  GivenUp = 'given-up'
}

export class Scheduler {
  private configuration: Configuration = emptyConfiguration
  private readonly waiting = new Map<string, Job>()
  private readonly running = new Map<string, RunningJob>()
  private readonly outstanding = new Map<string, number>()
  private readonly leaving = new Set<string>()
  private turn = 0

  private constructor (private readonly options: SchedulerOptions) {}

  static create (options: SchedulerOptions): Scheduler {
    return new Scheduler(options)
  }

  /** Puts a newer configuration in force. */
  configure (configuration: Configuration, _now: number): void {
    this.configuration = configuration
  }

  /** Takes the instance list's word, or the server's own refusal, on a backend server. */
  observeListed (server: string, state: ListedState, _now: number): void {
    if (state === ListedState.Leaving) {
      this.leaving.add(server)
    } else {
      this.leaving.delete(server)
    }
  }

  /** Takes a load report; it is late by the engine's lag. */
  observeLoad (_server: string, _report: LoadReport, _now: number): void {}

  /** Takes in a job, or refuses it at once. */
  offer (job: Job, now: number): Either<Failure, void> {
    const preset = presetOf(this.configuration)
    if (this.waiting.size >= preset.queueLimit) {
      return Left(Failure.notRun(FailureCode.Overloaded, 'Too many requests wait at this instance.', now + 1000))
    }
    this.waiting.set(job.id, job)
    return Right(undefined)
  }

  /** Forgets a job whose caller has gone. */
  withdraw (jobId: string): void {
    this.waiting.delete(jobId)
    this.release(jobId)
  }

  /** Decides what to send and what to refuse now. */
  tick (now: number): Decisions {
    const assignments: Assignment[] = []
    const refusals: Refusal[] = []
    for (const job of this.waiting.values()) {
      if (job.deadline <= now) {
        this.waiting.delete(job.id)
        refusals.push({ jobId: job.id, rule: 'deadline', failure: Failure.notRun(FailureCode.DeadlinePassed, 'The deadline passed while the request waited.') })
        continue
      }
      const assignment = this.assign(job)
      if (assignment) {
        assignments.push(assignment)
      }
    }
    return { assignments, refusals }
  }

  private assign (job: Job): Assignment | undefined {
    const servers = this.openServers(job)
    if (servers.length === 0) {
      return undefined
    }
    const { placement } = presetOf(this.configuration)
    const candidates = rankServers(placement, { job, servers, random: this.options.random, turn: this.turn++ })
    const best = candidates[0]
    if (!best) {
      return undefined
    }
    this.waiting.delete(job.id)
    this.running.set(job.id, { job, server: best.server })
    this.outstanding.set(best.server, (this.outstanding.get(best.server) ?? 0) + 1)
    return { jobId: job.id, server: best.server, candidates, rule: placement }
  }

  private openServers (job: Job): ServerView[] {
    return Object.values(this.configuration.servers)
      .filter(server => this.isOpen(server, job))
      .map(server => ({ name: server.name, slots: server.slots, outstanding: this.outstanding.get(server.name) ?? 0 }))
      .filter(server => server.outstanding < server.slots)
  }

  private isOpen (server: BackendServer, job: Job): boolean {
    return server.kind === ServerKind.Language &&
      server.state === AdministrativeState.InService &&
      server.models.includes(job.model) &&
      !this.leaving.has(server.name)
  }

  /** The engine has begun to answer. */
  started (_jobId: string, _start: StreamStart, _now: number): void {}

  /** The first token came. */
  firstToken (_jobId: string, _now: number): void {}

  /** The answer is complete. */
  finished (jobId: string, _end: StreamEnd, _now: number): void {
    this.release(jobId)
  }

  /** An attempt failed; says whether the job waits again. */
  failed (jobId: string, failure: Failure, now: number): Sequel {
    const running = this.running.get(jobId)
    this.release(jobId)
    if (!running || running.job.deadline <= now || !isRepeatable(failure.verdict, running.job.idempotent)) {
      return Sequel.GivenUp
    }
    this.waiting.set(jobId, running.job)
    return Sequel.Retried
  }

  private release (jobId: string): void {
    const running = this.running.get(jobId)
    if (!running) {
      return
    }
    this.running.delete(jobId)
    this.outstanding.set(running.server, (this.outstanding.get(running.server) ?? 1) - 1)
  }

  /** State for the dump: plain data, bounded by what waits and runs. */
  dump (): SchedulerState {
    return {
      waiting: this.waiting.size,
      running: this.running.size,
      outstanding: Object.fromEntries(this.outstanding),
      leaving: [...this.leaving]
    }
  }
}

export interface SchedulerState {
  readonly waiting: number
  readonly running: number
  readonly outstanding: Readonly<Record<string, number>>
  readonly leaving: readonly string[]
}
