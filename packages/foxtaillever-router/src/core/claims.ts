/**
 * Claims of non-idempotent requests: builds the claim of a request, and refuses
 * a request that can never be claimed before the log is queried.
 */
import { createHash } from 'node:crypto'
import { Failure, FailureCode, type Verdict } from 'foxtaillever-core'
import { claimKey, readKeyCreation, type ClaimRequest, type Grant } from 'foxtaillever-fleet'
import { Left, Maybe, Right, type Either } from 'purify-ts'
import type { Submission } from './request.js'

/** Makes claims in the log and records their outcomes. */
export interface Claims {
  claim: (request: ClaimRequest) => Promise<Either<Failure, Grant>>
  cancel: (requestId: string) => void
  settle: (grant: Grant, verdict: Verdict) => void
}

/** Digest of everything that defines the request; a key that is reused with another digest is refused. */
export function digestSubmission ({ path, body }: Submission): string {
  return createHash('sha256').update(path).update('\0').update(JSON.stringify(body)).digest('hex').slice(0, 32)
}

/** A request or call that may run at most once, with what its claim needs. */
export interface Claimable extends Pick<ClaimRequest, 'requestId' | 'digest' | 'deadline'> {
  /** Name used in refusals, such as "non-idempotent request". */
  readonly name: string
  readonly account: string
  readonly idempotencyKey: string
}

function missingCreationTime (name: string): Failure {
  return Failure.notRun(FailureCode.BadRequest,
    `The idempotency key of a ${name} must carry its creation time: a UUID of version 7, or milliseconds of Unix time, a hyphen and any text.`)
}

/** Creates the claim for the idempotency key, or says why there can be none. */
export function createDatedClaim ({ name, account, idempotencyKey, requestId, digest, deadline }: Claimable): Either<Failure, ClaimRequest> {
  return readKeyCreation(idempotencyKey).toEither(missingCreationTime(name)).map(createdAt => ({
    key: claimKey(account, idempotencyKey),
    requestId,
    digest,
    createdAt,
    deadline
  }))
}

/** Creates the claim of a request, or says why there can be none. */
export function createClaim (submission: Submission): Either<Failure, ClaimRequest> {
  const { job: { id, account, deadline }, idempotencyKey } = submission
  return createDatedClaim({ name: 'non-idempotent request', account, idempotencyKey, requestId: id, digest: digestSubmission(submission), deadline })
}

/** Refuses a request that could never be claimed. */
export function checkClaimable (submission: Submission, claims: Claims | undefined): Either<Failure, void> {
  if (submission.job.idempotent) {
    return Right(undefined)
  }
  return Maybe.fromNullable(claims)
    .toEither(Failure.notRun(FailureCode.LogUnavailable, 'This instance cannot claim requests.'))
    .chain(() => createClaim(submission))
    .chain(() => Right(undefined) as Either<Failure, void>)
}

export const noClaims: Claims = {
  claim: () => Promise.resolve(Left(Failure.notRun(FailureCode.LogUnavailable, 'This instance cannot claim requests.'))),
  cancel: () => {},
  settle: () => {}
}
