/** A failure as callers of the completions protocol see it. */
import { CallerHeader, type Clock, type Failure } from 'foxtaillever-core'
import { statusOf } from './statusOf.js'

export interface FailureBody {
  readonly error: {
    readonly type: string
    readonly code: string
    readonly message: string
    readonly verdict: string
    readonly request_id: string
  }
}

export function failureBody (failure: Failure, requestId: string): FailureBody {
  return {
    error: {
      type: statusOf[failure.code] < 500 ? 'invalid_request_error' : 'server_error',
      code: failure.code,
      message: failure.message,
      verdict: failure.verdict,
      request_id: requestId
    }
  }
}

/** Whole seconds until a retry makes sense, at least one. */
function retryAfterSeconds (retryAt: number, clock: Clock): string {
  return String(Math.max(1, Math.ceil((retryAt - clock.now()) / 1000)))
}

export function failureHeaders (failure: Failure, requestId: string, clock: Clock): Record<string, string> {
  const headers: Record<string, string> = {
    [CallerHeader.Verdict]: failure.verdict,
    [CallerHeader.RequestId]: requestId
  }
  if (failure.retryAt !== undefined) {
    headers[CallerHeader.RetryAfter] = retryAfterSeconds(failure.retryAt, clock)
  }
  return headers
}
