/**
 * Runs attempts of requests at engines: sends them, resumes broken streams and
 * checks each event before it reaches the caller. An event may be lost,
 * repeated, late or belong to another request; only the next token in order of
 * the requested stream is passed on.
 */
import {
  Failure, FailureCode, Verdict,
  type BackendServer, type Clock, type Engine, type GenerateCall, type GenerateListener, type GenerateStream, type Model, type StreamEnd, type StreamStart
} from 'foxtaillever-core'
import { Invariant, type Invariants } from './invariants.js'
import { RequestState, type RequestRow, type StreamPosition } from './request.js'
import { Safeguard, type Safeguards } from './safeguards.js'
import type { ServerReports } from './serverReports.js'

/** Receives what happens to an attempt. */
export interface AttemptListener {
  /** The engine began to answer, for the first time or after a resume. */
  started: (row: RequestRow, start: StreamStart) => void
  token: (row: RequestRow, sequence: number, data: string) => void
  finished: (row: RequestRow, end: StreamEnd) => void
  /** The attempt failed; the verdict of the failure covers this attempt only. */
  ended: (row: RequestRow, failure: Failure) => void
}

export interface AttemptRunnerOptions {
  readonly clock: Clock
  readonly engineOf: (server: BackendServer) => Engine
  readonly serverReports: ServerReports
  readonly invariants: Invariants
  readonly safeguards: Safeguards
  readonly listener: AttemptListener
}

/** One connection to an engine. */
interface Connection {
  readonly epoch: number
  readonly isResume: boolean
  hasStarted: boolean
}

/** An idempotent request soon moves to another server; a non-idempotent one can only be resumed at its engine. */
const RESUMES_IDEMPOTENT = 1
const RESUMES_NON_IDEMPOTENT = 4

/** Added to the delay before each further resume, milliseconds; the first is immediate. */
const RESUME_PAUSE_MS = 200

/** Failures after which the engine may still hold the stream. */
const resumable = new Set([FailureCode.ConnectionLost, FailureCode.ConnectionRefused, FailureCode.StreamBroken])

export class AttemptRunner {
  private constructor (private readonly options: AttemptRunnerOptions) {}

  static create (options: AttemptRunnerOptions): AttemptRunner {
    return new AttemptRunner(options)
  }

  /** Sends the request to the backend server, continuing after the tokens that the caller already has. */
  begin (row: RequestRow, server: BackendServer, model: Model | undefined): void {
    const { serverReports, invariants, safeguards } = this.options
    invariants.check(Invariant.NothingForLeaving, !serverReports.hasReportedLeaving(server.name), () => `${row.submission.job.id} to ${server.name}`)
    row.state = RequestState.Sent
    row.server = server.name
    row.attempts += 1
    // The first attempt uses the job's id; later ones differ, so that a late cancel cannot hit them.
    row.engineId = row.attempts === 1 ? row.submission.job.id : `${row.submission.job.id}.${row.attempts}`
    row.isSent = false
    row.start = undefined
    row.resumes = 0
    row.expected = safeguards[Safeguard.IncarnationCheck] ? serverReports.incarnationOf(server.name) : ''
    const engine = this.options.engineOf(server)
    const call = this.createCall(row, model)
    this.connect(row, engine, false, listener => engine.generate(call, listener))
  }

  private createCall (row: RequestRow, model: Model | undefined): GenerateCall {
    const { job, path, body, idempotencyKey } = row.submission
    return {
      requestId: row.engineId,
      account: job.account,
      model: job.model,
      weightsVersion: row.weightsVersion || (model?.weightsVersion ?? ''),
      expectedIncarnation: row.expected,
      priority: job.priority,
      deadline: job.deadline,
      path,
      body,
      continueAfter: row.delivered,
      idempotencyKey: job.idempotent ? '' : idempotencyKey
    }
  }

  /** Resumes a stream that was begun through another instance or an earlier connection. */
  resumeStream (row: RequestRow, server: BackendServer, position: StreamPosition): void {
    row.server = position.server
    row.engineId = position.requestId
    row.state = RequestState.Sent
    row.isSent = true
    row.isUnproven = true
    row.verdict = Verdict.Ran
    row.delivered = position.after
    row.weightsVersion = position.weightsVersion
    row.start = { ...position, promptTokens: 0, cachedTokens: 0 }
    this.resume(row, this.options.engineOf(server))
  }

  /** The caller has disconnected; the engine continues only if the caller may resume the stream. */
  release (row: RequestRow, mayResume: boolean): void {
    if (mayResume) {
      row.stream?.detach()
      return
    }
    row.stream?.cancel()
  }

  private resume (row: RequestRow, engine: Engine): void {
    const { start, submission, delivered } = row
    if (!start) {
      return
    }
    row.expected = start.incarnation
    row.resumes += 1
    const { job, path } = submission
    const call = { streamId: start.streamId, after: delivered, requestId: row.engineId, model: job.model, path }
    this.connect(row, engine, true, listener => engine.resume(call, listener))
  }

  private connect (row: RequestRow, engine: Engine, isResume: boolean, open: (listener: GenerateListener) => GenerateStream): void {
    row.epoch += 1
    const connection: Connection = { epoch: row.epoch, isResume, hasStarted: false }
    const isCurrent = (): boolean => row.epoch === connection.epoch && row.state !== RequestState.Done
    row.stream = open({
      sent: () => isCurrent() && this.onSent(row, connection),
      started: start => isCurrent() && this.onStarted(row, engine, connection, start),
      token: (sequence, data) => isCurrent() && this.onToken(row, engine, connection, sequence, data),
      finished: end => isCurrent() && this.onFinished(row, engine, connection, end),
      failed: failure => isCurrent() && this.onFailed(row, engine, connection, failure)
    })
  }

  /** Checks the deadline and the claim again, right before the first byte is sent. */
  private onSent (row: RequestRow, connection: Connection): boolean {
    const { clock, safeguards, invariants } = this.options
    const { job } = row.submission
    if (clock.now() >= job.deadline) {
      return false
    }
    if (connection.isResume) {
      return true
    }
    if (!job.idempotent && safeguards[Safeguard.ClaimBeforeSend]) {
      invariants.check(Invariant.ClaimedBeforeSend, row.grant !== undefined, () => job.id)
      if (row.grant?.use(clock).isRight() !== true) {
        return false
      }
    }
    row.isSent = true
    row.isUnproven = true
    return true
  }

  private onStarted (row: RequestRow, engine: Engine, connection: Connection, start: StreamStart): void {
    const { serverReports, clock, listener } = this.options
    serverReports.recordIncarnation(row.server, start.incarnation, clock.now())
    if (!this.isExpected(row, connection, start)) {
      row.stream?.detach()
      this.endAttempt(row, engine, Failure.create(FailureCode.Stale, Verdict.Ran, 'The backend server restarted or changed its weights; the stream is not the same.'))
      return
    }
    connection.hasStarted = true
    row.start = start
    row.weightsVersion = start.weightsVersion
    row.state = RequestState.Streaming
    listener.started(row, start)
  }

  private isExpected (row: RequestRow, connection: Connection, start: StreamStart): boolean {
    const { safeguards, invariants } = this.options
    const isSameStream = !connection.isResume || (start.incarnation === row.expected && start.streamId === row.start?.streamId)
    const areSameWeights = row.weightsVersion === '' || start.weightsVersion === row.weightsVersion
    if (safeguards[Safeguard.IncarnationCheck]) {
      return isSameStream && areSameWeights
    }
    invariants.check(Invariant.SameStream, isSameStream, () => row.submission.job.id)
    invariants.check(Invariant.SameWeights, areSameWeights, () => row.submission.job.id)
    return true
  }

  private onToken (row: RequestRow, engine: Engine, connection: Connection, sequence: number, data: string): void {
    const { safeguards, invariants, listener } = this.options
    const isNext = sequence === row.delivered + 1
    if (safeguards[Safeguard.SequenceCheck] && !isNext) {
      // The caller already has a repeated event. After a gap, the rest would make an incomplete answer.
      if (sequence > row.delivered) {
        row.stream?.detach()
        this.onFailed(row, engine, connection, Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine\'s stream lost an event.'))
      }
      return
    }
    invariants.check(Invariant.TokensInOrder, isNext, () => `${row.submission.job.id}: ${sequence} after ${row.delivered}`)
    row.delivered = sequence
    row.resumes = 0
    listener.token(row, sequence, data)
  }

  private onFinished (row: RequestRow, engine: Engine, connection: Connection, end: StreamEnd): void {
    const { safeguards, invariants, listener } = this.options
    const isComplete = end.completionTokens === row.delivered
    if (safeguards[Safeguard.SequenceCheck] && !isComplete) {
      this.onFailed(row, engine, connection, Failure.create(FailureCode.StreamBroken, Verdict.Ran, 'The engine\'s stream ended short.'))
      return
    }
    invariants.check(Invariant.AnswerComplete, isComplete, () => `${row.submission.job.id}: ${row.delivered} of ${end.completionTokens}`)
    listener.finished(row, end)
  }

  private onFailed (row: RequestRow, engine: Engine, connection: Connection, failure: Failure): void {
    if (!this.canResume(row, connection, failure)) {
      this.endAttempt(row, engine, failure)
      return
    }
    row.epoch += 1
    const { clock } = this.options
    const { epoch } = row
    const resumeAt = clock.now() + row.resumes * RESUME_PAUSE_MS
    clock.at(resumeAt, () => {
      if (row.epoch === epoch && row.state !== RequestState.Done) {
        this.resume(row, engine)
      }
    })
  }

  private canResume (row: RequestRow, connection: Connection, failure: Failure): boolean {
    const limit = row.submission.job.idempotent ? RESUMES_IDEMPOTENT : RESUMES_NON_IDEMPOTENT
    // The engine itself refused the resume: it does not know the stream.
    const isGone = connection.isResume && !connection.hasStarted && failure.code === FailureCode.StreamBroken
    return row.start !== undefined && !isGone && row.resumes < limit && resumable.has(failure.code)
  }

  private endAttempt (row: RequestRow, engine: Engine, failure: Failure): void {
    row.epoch += 1
    row.stream = undefined
    const verdict = this.verdictOfAttempt(row, failure)
    row.isSent = false
    row.start = undefined
    if (verdict === Verdict.NotRun) {
      row.grant?.release()
      row.isUnproven = row.verdict !== Verdict.NotRun
    } else if (row.submission.job.idempotent) {
      // The engine may still be computing an answer that nobody will read.
      engine.cancel(row.engineId)
    }
    this.options.listener.ended(row, failure.withVerdict(verdict))
  }

  private verdictOfAttempt (row: RequestRow, failure: Failure): Verdict {
    if (row.start) {
      return Verdict.Ran
    }
    return row.isSent ? failure.verdict : Verdict.NotRun
  }
}

/** Whether the server refused only because it has restarted; the request is sent again without an expected incarnation, at no cost to the retry budget. */
export function isIncarnationMismatch (row: RequestRow, failure: Failure): boolean {
  return failure.code === FailureCode.Stale && failure.verdict === Verdict.NotRun && row.expected !== ''
}
