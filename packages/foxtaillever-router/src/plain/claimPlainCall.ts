/**
 * Claims of plain calls that may not be repeated, such as a billed export.
 *
 * The router never repeats such a call itself. But a caller whose answer was
 * lost sends it again, perhaps through another instance, and the firm would be
 * billed twice. So a call with an idempotency key is claimed in the log before
 * its first byte leaves, like a non-idempotent prompt. A call without a key
 * cannot be told from a new one; its service has to live with that.
 */
import { createHash, randomUUID } from 'node:crypto'
import type { Failure, Verdict } from 'foxtaillever-core'
import type { ClaimRequest } from 'foxtaillever-fleet'
import { EitherAsync, type Either } from 'purify-ts'
import type { Exchange } from 'foxtaillever-relay/model/exchange'
import { createDatedClaim, type Claims } from '../core/claimDesk.js'

/** What of the call is claimed. */
export type ClaimedCall = Pick<Exchange, 'service' | 'method' | 'path' | 'body' | 'deadline'>

export interface Claimant {
  readonly account: string
  readonly idempotencyKey: string
}

/** Writes down how the call ended; nothing for a call that was not claimed. */
export type Settle = (verdict: Verdict) => void

/** Digest of all that makes the call; the same key with another one is refused. */
function digestCall ({ service, method, path, body }: ClaimedCall): string {
  return createHash('sha256')
    .update(`${service}\0${method}\0${path}\0`)
    .update(body)
    .digest('hex')
    .slice(0, 32)
}

function createClaim (call: ClaimedCall, claimant: Claimant): Either<Failure, ClaimRequest> {
  // The caller's own id may come again with another call; a claim's must not.
  return createDatedClaim({ name: 'call that may not be repeated', ...claimant, requestId: randomUUID(), digest: digestCall(call), deadline: call.deadline })
}

/** Resolves when the claim stands in the log as the winner; the answer to settle it with. */
export async function claimPlainCall (claims: Claims, call: ClaimedCall, claimant: Claimant): Promise<Either<Failure, Settle>> {
  return await EitherAsync.liftEither(createClaim(call, claimant))
    .chain(async request => await claims.claim(request))
    .map((grant): Settle => verdict => claims.settle(grant, verdict))
}
