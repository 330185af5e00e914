/**
 * The step between assignment and sending for requests that run at most once.
 * The claim is written to the log first; meanwhile the caller may leave or the
 * server may be removed.
 */
import { Verdict, type Failure } from 'foxtaillever-core'
import type { Grant } from 'foxtaillever-fleet'
import { createClaim, type Claims } from './claims.js'
import { RequestState, type RequestRow } from './request.js'

export interface ClaimStepOptions {
  readonly claims: Claims
  readonly granted: (row: RequestRow, server: string) => void
  readonly refused: (row: RequestRow, failure: Failure) => void
}

export class ClaimStep {
  private constructor (private readonly options: ClaimStepOptions) {}

  static create (options: ClaimStepOptions): ClaimStep {
    return new ClaimStep(options)
  }

  /** Claims the request that was assigned to the backend server. */
  begin (row: RequestRow, server: string): void {
    row.state = RequestState.Claiming
    createClaim(row.submission).caseOf({
      Left: failure => this.onRefused(row, failure),
      Right: request => {
        this.options.claims.claim(request).then(result => result.caseOf({
          Left: failure => this.onRefused(row, failure),
          Right: grant => this.onGranted(row, grant, server)
        }))
      }
    })
  }

  private onRefused (row: RequestRow, failure: Failure): void {
    if (row.state === RequestState.Claiming) {
      this.options.refused(row, failure)
    }
  }

  private onGranted (row: RequestRow, grant: Grant, server: string): void {
    // The caller left while the claim was being written: nothing was sent under it.
    if (row.state !== RequestState.Claiming) {
      this.options.claims.settle(grant, Verdict.NotRun)
      return
    }
    row.grant = grant
    this.options.granted(row, server)
  }
}
