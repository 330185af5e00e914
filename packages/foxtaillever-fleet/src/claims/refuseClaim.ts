/**
 * Failures returned to a caller whose claim did not win.
 */
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import { ClaimDecision, type StandingClaim } from './claim.js'

type Refusal = (standing: StandingClaim | undefined) => Failure

/** Describes the request that holds the key, by its verdict. */
const stateByVerdict: Record<Verdict, string> = {
  [Verdict.Ran]: 'has run',
  [Verdict.MayHaveRun]: 'may have run',
  [Verdict.NotRun]: 'did not run'
}

function refuseLostClaim (standing: StandingClaim | undefined): Failure {
  // Without an outcome the request may be running, or its owner may have died, so it is never run again.
  const verdict = standing?.verdict ?? Verdict.MayHaveRun
  const state = standing?.verdict === undefined ? 'is in progress or may have run' : stateByVerdict[verdict]
  return Failure.create(FailureCode.ClaimLost, verdict, `Request ${standing?.claim.requestId ?? 'unknown'} under this idempotency key ${state}.`)
}

const refusals: Record<Exclude<ClaimDecision, ClaimDecision.Won>, Refusal> = {
  [ClaimDecision.Lost]: refuseLostClaim,
  [ClaimDecision.KeyReused]: () => Failure.notRun(FailureCode.KeyReused, 'The idempotency key was used with another body.'),
  // This attempt did not run, but an earlier one may have, so the caller must not send it under a new key.
  [ClaimDecision.Expired]: () => Failure.create(FailureCode.ClaimExpired, Verdict.MayHaveRun, 'The idempotency key is older than what the log keeps; this sending was not run, an earlier one may have.'),
  [ClaimDecision.Ahead]: () => Failure.notRun(FailureCode.BadRequest, 'The idempotency key is dated in the future.')
}

export function refuseClaim (decision: Exclude<ClaimDecision, ClaimDecision.Won>, standing?: StandingClaim): Failure {
  return refusals[decision](standing)
}
