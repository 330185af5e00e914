/**
 * The router without its sockets: a table of requests, the systems that run
 * over it at each tick, and the words of engines that change it. Everything
 * outside is passed in, so the same code runs under a test's clock.
 */
import {
  Failure, FailureCode, ListedKind, Verdict,
  type BackendServer, type Clock, type Configuration, type Engine, type ListedInstance, type LoadReport, type Random, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { Scheduler, Sequel, type Assignment, type Refusal } from 'foxtaillever-policy'
import { Loop } from './loop.js'
import { RequestState, type RequestRow, type Responder, type Submission } from './request.js'

export interface RouterCoreOptions {
  readonly clock: Clock
  readonly random: Random
  readonly failureDomain: string
  /** Finds the engine behind a backend server. */
  readonly engineOf: (server: BackendServer) => Engine
}

export class RouterCore {
  private readonly requests = new Map<string, RequestRow>()
  private readonly scheduler: Scheduler
  private readonly loop: Loop
  private configuration: Configuration | undefined

  private constructor (private readonly options: RouterCoreOptions) {
    this.scheduler = Scheduler.create({ random: options.random, failureDomain: options.failureDomain })
    this.loop = Loop.create(options.clock, [
      now => this.expire(now),
      now => this.dispatch(now)
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
        this.scheduler.observeListed(instance.name, instance.state, this.options.clock.now())
      }
    }
    this.loop.wake()
  }

  observeLoad (server: string, report: LoadReport): void {
    this.scheduler.observeLoad(server, report, this.options.clock.now())
  }

  /** Takes a request in; every outcome, refusals too, goes to the responder. */
  submit (submission: Submission, responder: Responder): void {
    const { job } = submission
    this.scheduler.offer(job, this.options.clock.now()).caseOf({
      Left: failure => responder.failed(failure),
      Right: () => {
        this.requests.set(job.id, {
          submission,
          responder,
          state: RequestState.Waiting,
          attempt: 0,
          server: '',
          stream: undefined,
          sent: false,
          start: undefined,
          delivered: 0
        })
        this.loop.wake()
      }
    })
  }

  /** The caller has gone: the engine's work is stopped. */
  abandon (jobId: string): void {
    const row = this.requests.get(jobId)
    if (!row) {
      return
    }
    row.stream?.cancel()
    this.scheduler.withdraw(jobId)
    this.close(row)
  }

  /** The caller reads again. */
  drained (jobId: string): void {
    this.requests.get(jobId)?.stream?.resume()
  }

  private close (row: RequestRow): void {
    row.state = RequestState.Done
    this.requests.delete(row.submission.job.id)
    this.loop.wake()
  }

  /** Requests past their deadline get their final answer now, with the verdict of their state. */
  private expire (now: number): void {
    for (const row of this.requests.values()) {
      if (row.submission.job.deadline <= now && row.state !== RequestState.Waiting) {
        row.stream?.cancel()
        this.scheduler.withdraw(row.submission.job.id)
        this.fail(row, Failure.create(FailureCode.DeadlinePassed, this.verdictOf(row), 'The deadline passed before the answer was complete.'))
      }
    }
  }

  private verdictOf (row: RequestRow): Verdict {
    if (row.start) {
      return Verdict.Ran
    }
    return row.sent ? Verdict.MayHaveRun : Verdict.NotRun
  }

  private dispatch (now: number): void {
    const { assignments, refusals } = this.scheduler.tick(now)
    refusals.forEach(refusal => this.refuse(refusal))
    assignments.forEach(assignment => this.send(assignment))
  }

  private refuse (refusal: Refusal): void {
    const row = this.requests.get(refusal.jobId)
    if (row) {
      this.fail(row, refusal.failure)
    }
  }

  private fail (row: RequestRow, failure: Failure): void {
    this.close(row)
    row.responder.failed(failure)
  }

  private send (assignment: Assignment): void {
    const row = this.requests.get(assignment.jobId)
    const server = this.configuration?.servers[assignment.server]
    if (!row || !server) {
      this.scheduler.withdraw(assignment.jobId)
      return
    }
    row.state = RequestState.Sent
    row.server = server.name
    row.attempt += 1
    row.sent = false
    row.start = undefined
    const { job, body, path } = row.submission
    const model = this.configuration?.models[job.model]
    const attempt = row.attempt
    const current = (): boolean => row.attempt === attempt && row.state !== RequestState.Done
    row.stream = this.options.engineOf(server).generate({
      requestId: job.id,
      account: job.account,
      model: job.model,
      weightsVersion: model?.weightsVersion ?? '',
      expectedIncarnation: '',
      priority: job.priority,
      deadline: job.deadline,
      path,
      body,
      continueAfter: row.delivered
    }, {
      sent: () => { row.sent = true },
      started: start => current() && this.onStarted(row, start),
      token: (sequence, data) => current() && this.onToken(row, sequence, data),
      finished: end => current() && this.onFinished(row, end),
      failed: failure => current() && this.onFailed(row, failure)
    })
  }

  private onStarted (row: RequestRow, start: StreamStart): void {
    row.start = start
    row.state = RequestState.Streaming
    this.scheduler.started(row.submission.job.id, start, this.options.clock.now())
    if (row.delivered === 0) {
      row.responder.started(start)
    }
  }

  private onToken (row: RequestRow, sequence: number, data: string): void {
    // A repeated event is dropped; the caller has it already.
    if (sequence <= row.delivered) {
      return
    }
    // A gap means that the engine's stream lost an event; passing it on would cut the answer.
    if (sequence > row.delivered + 1) {
      row.stream?.cancel()
      this.onFailed(row, Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine\'s stream lost an event.'))
      return
    }
    if (row.delivered === 0) {
      this.scheduler.firstToken(row.submission.job.id, this.options.clock.now())
    }
    row.delivered = sequence
    if (!row.responder.token(sequence, data)) {
      row.stream?.pause()
    }
  }

  private onFinished (row: RequestRow, end: StreamEnd): void {
    if (end.completionTokens !== row.delivered) {
      this.onFailed(row, Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine\'s stream ended short.'))
      return
    }
    this.scheduler.finished(row.submission.job.id, end, this.options.clock.now())
    this.close(row)
    row.responder.finished(end)
  }

  private onFailed (row: RequestRow, failure: Failure): void {
    const sequel = this.scheduler.failed(row.submission.job.id, failure, this.options.clock.now())
    if (sequel === Sequel.GivenUp) {
      this.fail(row, failure)
      return
    }
    row.state = RequestState.Waiting
    row.stream = undefined
    this.loop.wake()
  }

  /** State for the dump, at one instant. */
  dump (): RouterCoreState {
    return {
      inFlight: this.requests.size,
      scheduler: this.scheduler.dump(),
      revision: this.configuration?.revision ?? 0
    }
  }
}

export interface RouterCoreState {
  readonly inFlight: number
  readonly scheduler: ReturnType<Scheduler['dump']>
  readonly revision: number
}
