/**
 * Claims of plain calls that may not be repeated, such as a billed export.
 *
 * The router never repeats such a call itself. But a caller whose answer was
 * lost sends it again, perhaps through another instance, and the firm would be
 * billed twice. So a call with an idempotency key is claimed in the log before
 * its first byte leaves, like a non-idempotent prompt. A call without a key
 * cannot be told from a new one; its service has to live with that.
 */
import { createHash } from 'node:crypto'
import type { Failure, Verdict } from 'foxtaillever-core'
import type { ClaimRequest } from 'foxtaillever-fleet'
import { EitherAsync, type Either } from 'purify-ts'
import type { PlainRequest } from '../adapters/plainClient.js'
import { createDatedClaim, type Claims } from '../core/claimDesk.js'

export interface ClaimedCall {
  readonly id: string
  readonly account: string
  readonly service: string
  readonly idempotencyKey: string
  readonly request: PlainRequest
}

/** Writes down how the call ended; nothing for a call that was not claimed. */
export type Settle = (verdict: Verdict) => void

/** Digest of all that makes the call; the same key with another one is refused. */
function digestCall ({ service, request }: ClaimedCall): string {
  return createHash('sha256')
    .update(`${service}\0${request.method}\0${request.path}\0`)
    .update(request.body ?? '')
    .digest('hex')
    .slice(0, 32)
}

function createClaim (call: ClaimedCall): Either<Failure, ClaimRequest> {
  const { id, account, idempotencyKey, request: { deadline } } = call
  return createDatedClaim({ name: 'call that may not be repeated', account, idempotencyKey, requestId: id, digest: digestCall(call), deadline })
}

/** Resolves when the claim stands in the log as the winner; the answer to settle it with. */
export async function claimPlainCall (claims: Claims, call: ClaimedCall): Promise<Either<Failure, Settle>> {
  return await EitherAsync.liftEither(createClaim(call))
    .chain(async request => await claims.claim(request))
    .map((grant): Settle => verdict => claims.settle(grant, verdict))
}
