/** HTTP status for each failure; mostly 4xx where a retry of the same request cannot help. */
import { FailureCode } from 'foxtaillever-core'

export const statusOf: Record<FailureCode, number> = {
  [FailureCode.BadRequest]: 400,
  [FailureCode.Unauthenticated]: 401,
  [FailureCode.Forbidden]: 403,
  [FailureCode.UnknownModel]: 404,
  [FailureCode.UnknownRoute]: 404,
  [FailureCode.TooLarge]: 413,
  [FailureCode.DeadlinePassed]: 504,
  [FailureCode.DeadlineUnreachable]: 503,
  [FailureCode.AccountOverLimit]: 429,
  [FailureCode.QuotaUnknown]: 503,
  [FailureCode.Overloaded]: 503,
  [FailureCode.Quarantined]: 422,
  [FailureCode.NoBackendServer]: 503,
  [FailureCode.NoConfiguration]: 503,
  [FailureCode.LogUnavailable]: 503,
  [FailureCode.ClaimLost]: 409,
  [FailureCode.ClaimExpired]: 409,
  [FailureCode.KeyReused]: 422,
  [FailureCode.Leaving]: 503,
  [FailureCode.ConnectionRefused]: 502,
  [FailureCode.ConnectionLost]: 502,
  [FailureCode.StreamBroken]: 502,
  [FailureCode.BackendServerRefused]: 502,
  [FailureCode.BackendServerError]: 502,
  [FailureCode.Cancelled]: 499,
  [FailureCode.Conflict]: 409,
  [FailureCode.Stale]: 409,
  [FailureCode.Internal]: 500
}
