/**
 * Claims of the router's non-idempotent requests: what each needs to be
 * claimed, and who may be refused before the log is asked.
 */
import { createHash } from 'node:crypto'
import { Failure, FailureCode, type Verdict } from 'foxtaillever-core'
import { claimKey, readKeyCreation, type ClaimRequest, type Grant } from 'foxtaillever-fleet'
import { Left, Maybe, Right, type Either } from 'purify-ts'
import type { Submission } from './request.js'

/** The part of the claim keeper that the router needs. */
export interface Claims {
  claim: (request: ClaimRequest) => Promise<Either<Failure, Grant>>
  cancel: (requestId: string) => void
  settle: (grant: Grant, verdict: Verdict) => void
}

/** Digest of all that makes the request; the same key with another one is refused. */
export function digestSubmission ({ path, body }: Submission): string {
  return createHash('sha256').update(path).update('\0').update(JSON.stringify(body)).digest('hex').slice(0, 32)
}

/** What is to run at most once, as its claim needs it. */
export interface Claimable extends Pick<ClaimRequest, 'requestId' | 'digest' | 'deadline'> {
  /** As a refusal names it, such as "non-idempotent request". */
  readonly name: string
  readonly account: string
  readonly idempotencyKey: string
}

function undated (name: string): Failure {
  return Failure.notRun(FailureCode.BadRequest,
    `The idempotency key of a ${name} must carry its creation time: a UUID of version 7, or milliseconds of Unix time, a hyphen and any text.`)
}

/** The claim under the key, or why it cannot be claimed. */
export function createDatedClaim ({ name, account, idempotencyKey, requestId, digest, deadline }: Claimable): Either<Failure, ClaimRequest> {
  return readKeyCreation(idempotencyKey).toEither(undated(name)).map(createdAt => ({
    key: claimKey(account, idempotencyKey),
    requestId,
    digest,
    createdAt,
    deadline
  }))
}

/** The claim of a request, or why it cannot be claimed. */
export function createClaim (submission: Submission): Either<Failure, ClaimRequest> {
  const { job: { id, account, deadline }, idempotencyKey } = submission
  return createDatedClaim({ name: 'non-idempotent request', account, idempotencyKey, requestId: id, digest: digestSubmission(submission), deadline })
}

/** Refuses at once what could never be claimed. */
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
