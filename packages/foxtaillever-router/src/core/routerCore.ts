/**
 * The router without its sockets: a table of requests, the systems that process
 * it at each tick, and the handlers of engine events that change it. All
 * dependencies are passed in, so the same code runs under a virtual clock.
 */
import {
  Failure, FailureCode, ListedKind, Verdict,
  type Configuration, type ListedInstance, type LoadReport, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { Scheduler, FailureOutcome, type Assignment, type Refusal } from 'foxtaillever-policy'
import { AttemptRunner, isIncarnationMismatch } from './attemptRunner.js'
import { checkClaimable, noClaims } from './claims.js'
import { ClaimStep } from './claimStep.js'
import { Invariants } from './invariants.js'
import { noObserver, type RequestObserver } from '../telemetry/requestObserver.js'
import { Loop } from './loop.js'
import { createRow, positionOf, RequestState, type RequestRow, type Responder, type StreamPosition, type Submission } from './request.js'
import { RequestTable } from './requestTable.js'
import { allSafeguards, Safeguard, type Safeguards } from './safeguards.js'
import type { RouterCoreOptions, RouterCoreState } from './routerCoreOptions.js'
import { ServerReports } from './serverReports.js'
import { worseVerdict } from './worseVerdict.js'

export class RouterCore {
  readonly invariants: Invariants
  private readonly requests: RequestTable
  private readonly claimStep: ClaimStep
  /** Public for the sharing of soft state with other instances. */
  readonly scheduler: Scheduler
  private readonly loop: Loop
  private readonly serverReports: ServerReports
  private readonly attempts: AttemptRunner
  private readonly safeguards: Safeguards
  private readonly observer: RequestObserver
  private configuration: Configuration | undefined

  private constructor (private readonly options: RouterCoreOptions) {
    const { clock, random, failureDomain, engineOf, distancesMs } = options
    this.invariants = options.invariants ?? Invariants.create()
    this.safeguards = options.safeguards ?? allSafeguards
    this.observer = options.observer ?? noObserver
    const claims = options.claims ?? noClaims
    this.requests = RequestTable.create({ claims, invariants: this.invariants, observer: this.observer, onClosed: () => this.loop.wake() })
    this.claimStep = ClaimStep.create({
      claims,
      granted: (row, server) => {
        this.observer.claimed(row.submission.job, server)
        this.send(row, server)
      },
      refused: (row, failure) => {
        this.withdraw(row)
        this.requests.fail(row, failure)
      }
    })
    this.serverReports = ServerReports.create(this.safeguards[Safeguard.AtOnceDrain])
    this.scheduler = Scheduler.create({ random, failureDomain, distancesMs })
    this.attempts = AttemptRunner.create({
      clock,
      engineOf,
      serverReports: this.serverReports,
      invariants: this.invariants,
      safeguards: this.safeguards,
      listener: {
        started: (row, start) => this.onStarted(row, start),
        token: (row, sequence, data) => this.onToken(row, sequence, data),
        finished: (row, end) => this.onFinished(row, end),
        ended: (row, failure) => this.onAttemptEnded(row, failure)
      }
    })
    this.loop = Loop.create({
      clock,
      systems: [now => this.dispatch(now), now => this.expire(now)],
      isBusy: () => this.inFlight() > 0
    })
  }

  static create (options: RouterCoreOptions): RouterCore {
    return new RouterCore(options)
  }

  start (): void {
    this.loop.start()
  }

  stop (): void {
    this.loop.stop()
  }

  /** Requests accepted and not yet answered. */
  inFlight (): number {
    return this.requests.size()
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.scheduler.configure(configuration, this.options.clock.now())
    this.loop.wake()
  }

  applyInstanceList (instances: readonly ListedInstance[]): void {
    for (const { name, state } of instances.filter(({ kind }) => kind === ListedKind.BackendServer)) {
      this.serverReports.recordListedState(name, state)
      this.updateSchedulerState(name)
    }
    this.loop.wake()
  }

  applyLoadReport (server: string, report: LoadReport): void {
    const now = this.options.clock.now()
    this.serverReports.recordLoadReport(server, report, now)
    this.updateSchedulerState(server)
    this.scheduler.applyLoadReport(server, report, now)
  }

  private updateSchedulerState (server: string): void {
    this.scheduler.applyListedState(server, this.serverReports.stateOf(server), this.options.clock.now())
  }

  /** Accepts a request; every outcome, refusals included, goes to the responder. */
  submit (submission: Submission, responder: Responder): void {
    this.observer.arrived(submission.job)
    checkClaimable(submission, this.options.claims)
      .chain(() => this.scheduler.submitJob(submission.job, this.options.clock.now()))
      .caseOf({
        Left: failure => {
          this.observer.refused(submission.job, failure.code, failure)
          responder.failed(failure)
        },
        Right: () => {
          this.requests.add(createRow(submission, responder, true))
          this.loop.wake()
        }
      })
  }

  /** Resumes a stream from which a caller was disconnected, perhaps begun through another instance. */
  resumeStream (submission: Submission, position: StreamPosition, responder: Responder): void {
    const server = this.configuration?.servers[position.server]
    if (!server) {
      responder.failed(Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The backend server of this stream is not there any more.'))
      return
    }
    this.observer.arrived(submission.job)
    const row = createRow(submission, responder, false)
    this.requests.add(row)
    this.attempts.resumeStream(row, server, position)
  }

  /** The caller has disconnected: the engine's work is stopped, unless the caller may resume the stream. */
  abandon (jobId: string, mayResume = false): void {
    const row = this.requests.find(jobId)
    if (!row) {
      return
    }
    this.attempts.release(row, mayResume)
    this.withdraw(row)
    this.observer.cancelled(row.submission.job, row.server)
    this.requests.close(row, this.requests.verdictOf(row))
  }

  /** The caller can receive again after backpressure. */
  resumeReading (jobId: string): void {
    this.requests.find(jobId)?.stream?.resume()
  }

  /** Fails all remaining requests when the deadline of a shutdown has come. */
  failAll (): void {
    for (const row of [...this.requests.all()]) {
      this.endRequest(row, FailureCode.Leaving, 'This instance shut down before the answer was complete.')
    }
  }

  /** Fails a request in whatever state it is, with the verdict of all its attempts. */
  private endRequest (row: RequestRow, code: FailureCode, message: string): void {
    row.stream?.cancel()
    this.withdraw(row)
    this.requests.fail(row, Failure.create(code, this.requests.verdictOf(row), message))
  }

  private withdraw (row: RequestRow): void {
    if (row.isScheduled) {
      this.scheduler.withdrawJob(row.submission.job.id)
    }
  }

  /** Fails requests past their deadline. */
  private expire (now: number): void {
    const late = [...this.requests.all()].filter(({ submission }) => submission.job.deadline <= now)
    late.forEach(row => this.endRequest(row, FailureCode.DeadlinePassed, 'The deadline passed before the answer was complete.'))
  }

  private dispatch (now: number): void {
    const { assignments, refusals } = this.scheduler.tick(now)
    refusals.forEach(refusal => this.refuse(refusal))
    assignments.forEach(assignment => this.assign(assignment))
  }

  private refuse (refusal: Refusal): void {
    const row = this.requests.find(refusal.jobId)
    if (row) {
      this.requests.fail(row, refusal.failure, refusal.rule)
    }
  }

  private assign (assignment: Assignment): void {
    const row = this.requests.find(assignment.jobId)
    if (!row) {
      this.scheduler.withdrawJob(assignment.jobId)
      return
    }
    this.observer.assigned(row.submission.job, assignment)
    const needsClaim = !row.submission.job.idempotent && !row.grant && this.safeguards[Safeguard.ClaimBeforeSend]
    if (needsClaim) {
      this.claimStep.begin(row, assignment.server)
      return
    }
    this.send(row, assignment.server)
  }

  /** Checks again that the server is still there: it may have changed while the claim was written. */
  private send (row: RequestRow, name: string): void {
    const server = this.configuration?.servers[name]
    row.server = name
    if (!server) {
      this.onAttemptEnded(row, Failure.notRun(FailureCode.NoBackendServer, 'The backend server was removed.'))
      return
    }
    if (this.safeguards[Safeguard.AtOnceDrain] && this.serverReports.hasReportedLeaving(name)) {
      this.onAttemptEnded(row, Failure.notRun(FailureCode.Leaving, 'The backend server is leaving.'))
      return
    }
    this.attempts.begin(row, server, this.configuration?.models[row.submission.job.model])
  }

  private onStarted (row: RequestRow, start: StreamStart): void {
    if (row.isScheduled) {
      this.scheduler.recordStart(row.submission.job.id, start, this.options.clock.now())
    }
    // Headers are sent once, however many attempts and resumes the answer takes.
    const position = positionOf(row, start)
    if (!row.isAnswering) {
      row.isAnswering = true
      this.observer.started(row.submission.job, row.server, start)
      row.responder.started(start, position)
    } else {
      row.responder.moved?.(position)
    }
  }

  private onToken (row: RequestRow, sequence: number, data: string): void {
    if (sequence === 1 && row.isScheduled) {
      this.observer.firstToken(row.submission.job, row.server)
      this.scheduler.recordFirstToken(row.submission.job.id, this.options.clock.now())
      // A prefill has ended; a job that waited for it may be sent now.
      this.loop.wake()
    }
    if (!row.responder.token(sequence, data)) {
      row.stream?.pause()
    }
  }

  private onFinished (row: RequestRow, end: StreamEnd): void {
    if (row.isScheduled) {
      this.scheduler.recordFinish(row.submission.job.id, end, this.options.clock.now())
    }
    this.requests.close(row, Verdict.Ran)
    this.observer.finished(row.submission.job, row.server, end)
    row.responder.finished(end)
  }

  private onAttemptEnded (row: RequestRow, failure: Failure): void {
    const now = this.options.clock.now()
    if (failure.code === FailureCode.Leaving) {
      this.serverReports.recordLeaving(row.server, now)
      this.updateSchedulerState(row.server)
    }
    if (isIncarnationMismatch(row, failure)) {
      this.serverReports.forgetIncarnation(row.server)
      this.send(row, row.server)
      return
    }
    row.verdict = worseVerdict(row.verdict, failure.verdict)
    const sequel = row.isScheduled ? this.scheduler.recordFailure(row.submission.job.id, failure, now) : FailureOutcome.Failed
    if (sequel === FailureOutcome.Failed) {
      this.requests.fail(row, failure)
      return
    }
    row.state = RequestState.Waiting
    this.observer.retried(row.submission.job, row.server, failure)
    this.loop.wake()
  }

  /** State for the dump, all of the same moment. */
  dump (): RouterCoreState {
    return {
      inFlight: this.requests.size(),
      scheduler: this.scheduler.dump(),
      revision: this.configuration?.revision ?? 0,
      invariants: this.invariants.report()
    }
  }
}
