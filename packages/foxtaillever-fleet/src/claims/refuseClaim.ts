/**
 * What a caller is told when its claim did not win.
 */
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { ClaimDecision, type StandingClaim } from './claim.js'

type Refusal = (standing: StandingClaim | undefined) => Failure

/** The words for each verdict of the sending that holds the key. */
const heldBy: Record<Verdict, string> = {
  [Verdict.Ran]: 'has run',
  [Verdict.MayHaveRun]: 'may have run',
  [Verdict.NotRun]: 'did not run'
}

function refuseLoser (standing: StandingClaim | undefined): Failure {
  // Without an outcome it may be running, or its owner may have died: it is never run again.
  const verdict = standing?.verdict ?? Verdict.MayHaveRun
  const state = standing?.verdict === undefined ? 'is in progress or may have run' : heldBy[verdict]
  return Failure.create(FailureCode.ClaimLost, verdict, `Request ${standing?.claim.requestId ?? 'unknown'} under this idempotency key ${state}.`)
}

const refusals: Record<Exclude<ClaimDecision, ClaimDecision.Won>, Refusal> = {
  [ClaimDecision.Lost]: refuseLoser,
  [ClaimDecision.KeyReused]: () => Failure.notRun(FailureCode.KeyReused, 'The idempotency key was used with another body.'),
  // This sending did not run, but an earlier one may have, and the caller must not take a new key for it.
  [ClaimDecision.Expired]: () => Failure.create(FailureCode.ClaimExpired, Verdict.MayHaveRun, 'The idempotency key is older than what the log keeps; this sending was not run, an earlier one may have.'),
  [ClaimDecision.Ahead]: () => Failure.notRun(FailureCode.BadRequest, 'The idempotency key is dated in the future.')
}

export function refuseClaim (decision: Exclude<ClaimDecision, ClaimDecision.Won>, standing?: StandingClaim): Failure {
  return refusals[decision](standing)
}
