/**
 * The table of requests. Each request leaves it with exactly one outcome, whose
 * verdict covers all its attempts and is recorded for its claim.
 */
import { Verdict, type Failure } from 'foxtaillever-core'
import type { RequestObserver } from '../telemetry/requestObserver.js'
import type { Claims } from './claims.js'
import { Invariant, type Invariants } from './invariants.js'
import { RequestState, type RequestRow } from './request.js'
import { worseVerdict } from './worseVerdict.js'

export interface RequestTableOptions {
  readonly claims: Claims
  readonly invariants: Invariants
  readonly observer: RequestObserver
  /** Called when a request has left the table. */
  readonly onClosed: () => void
}

export class RequestTable {
  private readonly rows = new Map<string, RequestRow>()

  private constructor (private readonly options: RequestTableOptions) {}

  static create (options: RequestTableOptions): RequestTable {
    return new RequestTable(options)
  }

  size (): number {
    return this.rows.size
  }

  find (jobId: string): RequestRow | undefined {
    return this.rows.get(jobId)
  }

  all (): Iterable<RequestRow> {
    return this.rows.values()
  }

  add (row: RequestRow): void {
    this.rows.set(row.submission.job.id, row)
  }

  /** Verdict on everything done for the request until now, the current attempt included. */
  verdictOf (row: RequestRow): Verdict {
    if (row.start || row.delivered > 0) {
      return Verdict.Ran
    }
    return worseVerdict(row.verdict, row.isSent && row.state !== RequestState.Waiting ? Verdict.MayHaveRun : Verdict.NotRun)
  }

  /** Removes the request; the verdict is recorded as the outcome of its claim. */
  close (row: RequestRow, verdict: Verdict): void {
    const { claims, invariants, onClosed } = this.options
    const { id } = row.submission.job
    invariants.check(Invariant.SingleOutcome, row.state !== RequestState.Done, () => id)
    if (row.state === RequestState.Claiming) {
      claims.cancel(id)
    }
    if (row.grant) {
      claims.settle(row.grant, verdict)
    }
    row.state = RequestState.Done
    this.rows.delete(id)
    onClosed()
  }

  /**
   * Fails the request with the worst verdict of all its attempts, not only of the last one.
   * @param rule name of the rule that refused, where there is one.
   */
  fail (row: RequestRow, failure: Failure, rule: string = failure.code): void {
    const verdict = worseVerdict(row.verdict, failure.verdict)
    const reported = failure.withVerdict(verdict)
    this.options.invariants.check(Invariant.NotRunProven, verdict !== Verdict.NotRun || !row.isUnproven, () => row.submission.job.id)
    this.close(row, verdict)
    this.notifyObserver(row, reported, rule)
    row.responder.failed(reported)
  }

  private notifyObserver (row: RequestRow, failure: Failure, rule: string): void {
    const { observer } = this.options
    if (failure.verdict === Verdict.NotRun) {
      observer.refused(row.submission.job, rule, failure)
    } else {
      observer.failed(row.submission.job, row.server, failure)
    }
  }
}
