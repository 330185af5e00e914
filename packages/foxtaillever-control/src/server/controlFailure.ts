/**
 * Converts failures with their verdicts to errors of the control protocol.
 */
import { TRPCError } from '@trpc/server'
import { Failure, FailureCode, Verdict } from 'foxtaillever-core'
import type { Either } from 'purify-ts'

/** A failure as it is sent on the wire. */
export interface FailureShape {
  readonly code: FailureCode
  readonly verdict: Verdict
  readonly message: string
  readonly retryAt?: number
}

const statuses: Partial<Record<FailureCode, TRPCError['code']>> = {
  [FailureCode.Unauthenticated]: 'UNAUTHORIZED',
  [FailureCode.Forbidden]: 'FORBIDDEN',
  [FailureCode.BadRequest]: 'BAD_REQUEST',
  [FailureCode.UnknownRoute]: 'NOT_FOUND',
  [FailureCode.Conflict]: 'CONFLICT',
  [FailureCode.LogUnavailable]: 'SERVICE_UNAVAILABLE',
  [FailureCode.NoConfiguration]: 'SERVICE_UNAVAILABLE'
}

/** Wraps a failure, since tRPC requires an Error as cause. */
class FailureCause extends Error {
  constructor (readonly failure: Failure) {
    super(failure.message)
  }
}

export function createControlError (failure: Failure): TRPCError {
  return new TRPCError({ code: statuses[failure.code] ?? 'INTERNAL_SERVER_ERROR', message: failure.message, cause: new FailureCause(failure) })
}

/** Returns the right side, or throws the left one as an error of tRPC. */
export function orThrow<Value> (result: Either<Failure, Value>): Value {
  return result.caseOf({
    Left: failure => { throw createControlError(failure) },
    Right: value => value
  })
}

function extractFailure (error: TRPCError): Failure {
  if (error.cause instanceof FailureCause) {
    return error.cause.failure
  }
  // tRPC refuses malformed input and unknown procedures before anything runs.
  const refused = error.code === 'BAD_REQUEST' || error.code === 'NOT_FOUND' || error.code === 'METHOD_NOT_SUPPORTED'
  return refused
    ? Failure.notRun(FailureCode.BadRequest, 'The instance does not understand this; compare versions.')
    : Failure.create(FailureCode.Internal, Verdict.MayHaveRun, 'The instance met an error of its own; its log has more.')
}

export function toFailureShape (error: TRPCError): FailureShape {
  const { code, verdict, message, retryAt } = extractFailure(error)
  return { code, verdict, message, ...(retryAt === undefined ? {} : { retryAt }) }
}
