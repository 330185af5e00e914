/**
 * Claims of plain calls that may not be repeated, such as a billed export.
 *
 * The router never repeats such a call itself. But a caller whose answer was
 * lost sends it again, perhaps through another instance, and would be billed
 * twice. So a call with an idempotency key is claimed in the log before its
 * first byte is sent, like a non-idempotent prompt. A repeated call without a
 * key cannot be distinguished from a new one; its service must handle that.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { Failure, Verdict } from 'foxtaillever-core'
import type { ClaimRequest } from 'foxtaillever-fleet'
import { EitherAsync, type Either } from 'purify-ts'
import type { Exchange } from 'foxtaillever-relay/model/exchange'
import { createDatedClaim, type Claims } from '../core/claims.js'

/** The parts of a call that define its claim. */
export type ClaimedCall = Pick<Exchange, 'service' | 'method' | 'path' | 'body' | 'deadline'>

export interface Claimant {
  readonly account: string
  readonly idempotencyKey: string
}

/** Records the outcome of the call for its claim; does nothing for a call without a claim. */
export type RecordOutcome = (verdict: Verdict) => void

/** Digest of everything that defines the call; a key that is reused with another digest is refused. */
function digestCall ({ service, method, path, body }: ClaimedCall): string {
  return createHash('sha256')
    .update(`${service}\0${method}\0${path}\0`)
    .update(body)
    .digest('hex')
    .slice(0, 32)
}

function createClaim (call: ClaimedCall, claimant: Claimant): Either<Failure, ClaimRequest> {
  // A caller may reuse its request id for another call; the id of a claim must be unique.
  return createDatedClaim({ name: 'call that may not be repeated', ...claimant, requestId: randomUUID(), digest: digestCall(call), deadline: call.deadline })
}

/** Resolves when the claim has won in the log, with the function that records its outcome. */
export async function claimPlainCall (claims: Claims, call: ClaimedCall, claimant: Claimant): Promise<Either<Failure, RecordOutcome>> {
  return await EitherAsync.liftEither(createClaim(call, claimant))
    .chain(async request => await claims.claim(request))
    .map((grant): RecordOutcome => verdict => claims.settle(grant, verdict))
}
