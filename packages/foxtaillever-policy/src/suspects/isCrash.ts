import { FailureCode, Verdict, type Failure } from 'foxtaillever-core'

/** Failures that look like a crash of the engine while it ran the request. */
const losses = new Set([FailureCode.ConnectionLost, FailureCode.StreamBroken])

/** Whether the server may have crashed with the request in flight. */
export function isCrash (failure: Failure): boolean {
  return losses.has(failure.code) && failure.verdict !== Verdict.NotRun
}
