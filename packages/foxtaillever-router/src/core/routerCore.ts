/**
 * The router without its sockets: a table of requests, the systems that run
 * over it at each tick, and the words of engines that change it. Everything
 * outside is passed in, so the same code runs under a test's clock.
 */
import {
  Failure, FailureCode, ListedKind, Verdict,
  type BackendServer, type Clock, type Configuration, type Engine, type ListedInstance, type LoadReport, type Random, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import type { Grant } from 'foxtaillever-fleet'
import { Scheduler, Sequel, type Assignment, type Refusal } from 'foxtaillever-policy'
import { Attempts } from './attempts.js'
import { checkClaimable, createClaim, noClaims, type Claims } from './claimDesk.js'
import { Invariant, Invariants } from './invariants.js'
import { noObserver, type RequestObserver } from '../telemetry/requestObserver.js'
import { Loop } from './loop.js'
import { createRow, RequestState, type RequestRow, type Responder, type StreamPosition, type Submission } from './request.js'
import { allSafeguards, Safeguard, type Safeguards } from './safeguards.js'
import { ServerWords } from './serverWords.js'
import { worseVerdict } from './worseVerdict.js'

export interface RouterCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  /** Finds the engine behind a backend server. */
  readonly engineOf: (server: BackendServer) => Engine
  /** Claims of non-idempotent requests; without it none is sent. */
  readonly claims?: Claims
  readonly invariants?: Invariants
  /** One way from this instance to other failure domains, milliseconds. */
  readonly distancesMs?: Readonly<Record<string, number>>
  /** Is told what becomes of each request; without it nobody is. */
  readonly observer?: RequestObserver
  /** Other than all of them in tests alone. */
  readonly safeguards?: Safeguards
}

export class RouterCore {
  readonly invariants: Invariants
  private readonly requests = new Map<string, RequestRow>()
  /** Open to the exchange of soft state with other instances. */
  readonly scheduler: Scheduler
  private readonly loop: Loop
  private readonly claims: Claims
  private readonly words: ServerWords
  private readonly attempts: Attempts
  private readonly safeguards: Safeguards
  private readonly observer: RequestObserver
  private configuration: Configuration | undefined

  private constructor (private readonly options: RouterCoreOptions) {
    const { clock, random, failureDomain, engineOf, distancesMs } = options
    this.invariants = options.invariants ?? Invariants.create()
    this.safeguards = options.safeguards ?? allSafeguards
    this.claims = options.claims ?? noClaims
    this.observer = options.observer ?? noObserver
    this.words = ServerWords.create(this.safeguards[Safeguard.AtOnceDrain])
    this.scheduler = Scheduler.create({ random, failureDomain, distancesMs })
    this.attempts = Attempts.create({
      clock,
      engineOf,
      words: this.words,
      invariants: this.invariants,
      safeguards: this.safeguards,
      listener: {
        started: (row, start) => this.onStarted(row, start),
        token: (row, sequence, data) => this.onToken(row, sequence, data),
        finished: (row, end) => this.onFinished(row, end),
        over: (row, failure) => this.onTryOver(row, failure)
      }
    })
    this.loop = Loop.create(clock, [
      now => this.dispatch(now),
      now => this.expire(now)
    ])
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
    return this.requests.size
  }

  configure (configuration: Configuration): void {
    this.configuration = configuration
    this.scheduler.configure(configuration, this.options.clock.now())
    this.loop.wake()
  }

  observeList (instances: readonly ListedInstance[]): void {
    for (const instance of instances) {
      if (instance.kind === ListedKind.BackendServer) {
        this.words.observeListed(instance.name, instance.state)
        this.tellState(instance.name)
      }
    }
    this.loop.wake()
  }

  observeLoad (server: string, report: LoadReport): void {
    const now = this.options.clock.now()
    this.words.observeLoad(server, report, now)
    this.tellState(server)
    this.scheduler.observeLoad(server, report, now)
  }

  private tellState (server: string): void {
    this.scheduler.observeListed(server, this.words.stateOf(server), this.options.clock.now())
  }

  /** Takes a request in; every outcome, refusals too, goes to the responder. */
  submit (submission: Submission, responder: Responder): void {
    this.observer.arrived(submission.job)
    checkClaimable(submission, this.options.claims)
      .chain(() => this.scheduler.offer(submission.job, this.options.clock.now()))
      .caseOf({
        Left: failure => {
          this.observer.refused(submission.job, failure.code, failure)
          responder.failed(failure)
        },
        Right: () => {
          this.requests.set(submission.job.id, createRow(submission, responder, true))
          this.loop.wake()
        }
      })
  }

  /** Takes up a stream that a caller lost, perhaps begun through another instance. */
  takeUp (submission: Submission, position: StreamPosition, responder: Responder): void {
    const server = this.configuration?.servers[position.server]
    if (!server) {
      responder.failed(Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The backend server of this stream is not there any more.'))
      return
    }
    this.observer.arrived(submission.job)
    const row = createRow(submission, responder, false)
    this.requests.set(submission.job.id, row)
    this.attempts.takeUp(row, server, position)
  }

  /** The caller has gone: the engine's work is stopped, unless it may come back for it. */
  abandon (jobId: string, mayComeBack = false): void {
    const row = this.requests.get(jobId)
    if (!row) {
      return
    }
    if (mayComeBack) {
      row.stream?.detach()
    } else {
      row.stream?.cancel()
    }
    this.withdraw(row)
    this.observer.cancelled(row.submission.job, row.server)
    this.close(row, this.verdictOf(row))
  }

  /** The caller reads again. */
  drained (jobId: string): void {
    this.requests.get(jobId)?.stream?.resume()
  }

  /** The stored deadline of a shutdown has come: what is left gets its last word. */
  endAll (): void {
    for (const row of this.requests.values()) {
      row.stream?.cancel()
      this.withdraw(row)
      this.fail(row, Failure.create(FailureCode.Leaving, this.verdictOf(row), 'This instance shut down before the answer was complete.'))
    }
  }

  private withdraw (row: RequestRow): void {
    if (row.isScheduled) {
      this.scheduler.withdraw(row.submission.job.id)
    }
  }

  private close (row: RequestRow, verdict: Verdict): void {
    const { id } = row.submission.job
    this.invariants.check(Invariant.OneLastWord, row.state !== RequestState.Done, () => id)
    if (row.state === RequestState.Claiming) {
      this.claims.cancel(id)
    }
    if (row.grant) {
      this.claims.settle(row.grant, verdict)
    }
    row.state = RequestState.Done
    this.requests.delete(id)
    this.loop.wake()
  }

  /** Requests past their deadline get their final answer now, with the verdict of all their tries. */
  private expire (now: number): void {
    for (const row of this.requests.values()) {
      if (row.submission.job.deadline <= now) {
        row.stream?.cancel()
        this.withdraw(row)
        this.fail(row, Failure.create(FailureCode.DeadlinePassed, this.verdictOf(row), 'The deadline passed before the answer was complete.'))
      }
    }
  }

  /** What is known now, the present try included. */
  private verdictOf (row: RequestRow): Verdict {
    if (row.start || row.delivered > 0) {
      return Verdict.Ran
    }
    return worseVerdict(row.verdict, row.isSent && row.state !== RequestState.Waiting ? Verdict.MayHaveRun : Verdict.NotRun)
  }

  private dispatch (now: number): void {
    const { assignments, refusals } = this.scheduler.tick(now)
    refusals.forEach(refusal => this.refuse(refusal))
    assignments.forEach(assignment => this.assign(assignment))
  }

  private refuse (refusal: Refusal): void {
    const row = this.requests.get(refusal.jobId)
    if (row) {
      this.fail(row, refusal.failure, refusal.rule)
    }
  }

  /** The last word: what any try may have done counts, not only the last one. */
  private fail (row: RequestRow, failure: Failure, rule: string = failure.code): void {
    const verdict = worseVerdict(row.verdict, failure.verdict)
    this.invariants.check(Invariant.NotRunProven, verdict !== Verdict.NotRun || !row.isUnproven, () => row.submission.job.id)
    this.close(row, verdict)
    this.tellFailure(row, failure.withVerdict(verdict), rule)
    row.responder.failed(failure.withVerdict(verdict))
  }

  private tellFailure (row: RequestRow, failure: Failure, rule: string): void {
    if (failure.verdict === Verdict.NotRun) {
      this.observer.refused(row.submission.job, rule, failure)
    } else {
      this.observer.failed(row.submission.job, row.server, failure)
    }
  }

  private assign (assignment: Assignment): void {
    const row = this.requests.get(assignment.jobId)
    if (!row) {
      this.scheduler.withdraw(assignment.jobId)
      return
    }
    this.observer.assigned(row.submission.job, assignment)
    const needsClaim = !row.submission.job.idempotent && !row.grant && this.safeguards[Safeguard.ClaimBeforeSend]
    if (needsClaim) {
      this.claimFirst(row, assignment.server)
      return
    }
    this.send(row, assignment.server)
  }

  private claimFirst (row: RequestRow, server: string): void {
    row.state = RequestState.Claiming
    createClaim(row.submission).caseOf({
      Left: failure => this.onClaimRefused(row, failure),
      Right: request => {
        this.claims.claim(request).then(result => result.caseOf({
          Left: failure => this.onClaimRefused(row, failure),
          Right: grant => this.onGranted(row, grant, server)
        }))
      }
    })
  }

  private onClaimRefused (row: RequestRow, failure: Failure): void {
    if (row.state === RequestState.Claiming) {
      this.withdraw(row)
      this.fail(row, failure)
    }
  }

  private onGranted (row: RequestRow, grant: Grant, server: string): void {
    // The caller left while the claim was on its way: nothing was sent under it.
    if (row.state !== RequestState.Claiming) {
      this.claims.settle(grant, Verdict.NotRun)
      return
    }
    row.grant = grant
    this.observer.claimed(row.submission.job, server)
    this.send(row, server)
  }

  /** Things may have changed since the assignment, while the claim was made. */
  private send (row: RequestRow, name: string): void {
    const server = this.configuration?.servers[name]
    row.server = name
    if (!server) {
      this.onTryOver(row, Failure.notRun(FailureCode.NoBackendServer, 'The backend server was removed.'))
      return
    }
    if (this.safeguards[Safeguard.AtOnceDrain] && this.words.hasSaidLeaving(name)) {
      this.onTryOver(row, Failure.notRun(FailureCode.Leaving, 'The backend server is leaving.'))
      return
    }
    this.attempts.begin(row, server, this.configuration?.models[row.submission.job.model])
  }

  private onStarted (row: RequestRow, start: StreamStart): void {
    if (row.isScheduled) {
      this.scheduler.started(row.submission.job.id, start, this.options.clock.now())
    }
    // Headers go out once, however many tries and resumes the answer takes.
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
      this.scheduler.firstToken(row.submission.job.id, this.options.clock.now())
    }
    if (!row.responder.token(sequence, data)) {
      row.stream?.pause()
    }
  }

  private onFinished (row: RequestRow, end: StreamEnd): void {
    if (row.isScheduled) {
      this.scheduler.finished(row.submission.job.id, end, this.options.clock.now())
    }
    this.close(row, Verdict.Ran)
    this.observer.finished(row.submission.job, row.server, end)
    row.responder.finished(end)
  }

  private onTryOver (row: RequestRow, failure: Failure): void {
    const now = this.options.clock.now()
    if (failure.code === FailureCode.Leaving) {
      this.words.observeLeaving(row.server, now)
      this.tellState(row.server)
    }
    if (this.isMerelyRestarted(row, failure)) {
      this.words.forgetIncarnation(row.server)
      this.send(row, row.server)
      return
    }
    row.verdict = worseVerdict(row.verdict, failure.verdict)
    const sequel = row.isScheduled ? this.scheduler.failed(row.submission.job.id, failure, now) : Sequel.GivenUp
    if (sequel === Sequel.GivenUp) {
      this.fail(row, failure)
      return
    }
    row.state = RequestState.Waiting
    this.observer.retried(row.submission.job, row.server, failure)
    this.loop.wake()
  }

  /** The server only refused an old incarnation: it is asked again, expecting none, and no retry is spent. */
  private isMerelyRestarted (row: RequestRow, failure: Failure): boolean {
    return failure.code === FailureCode.Stale && failure.verdict === Verdict.NotRun && row.expected !== ''
  }

  /** State for the dump, at one instant. */
  dump (): RouterCoreState {
    return {
      inFlight: this.requests.size,
      scheduler: this.scheduler.dump(),
      revision: this.configuration?.revision ?? 0,
      invariants: this.invariants.report()
    }
  }
}

function positionOf (row: RequestRow, { streamId, incarnation, weightsVersion }: StreamStart): StreamPosition {
  return { server: row.server, streamId, incarnation, weightsVersion, requestId: row.engineId, after: row.delivered }
}

export interface RouterCoreState {
  readonly inFlight: number
  readonly scheduler: ReturnType<Scheduler['dump']>
  readonly revision: number
  readonly invariants: ReturnType<Invariants['report']>
}
