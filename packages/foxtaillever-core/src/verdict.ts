/**
 * Verdicts and failures. Every failure in the system says whether the request
 * it concerns may have run, because only that decides whether it may be retried.
 */

/** Whether a request may have run. */
export enum Verdict {
  /** Proven: no byte was sent, or the backend server said so in its protocol. */
  NotRun = 'not_run',
  /** Bytes were sent, and nothing proves that the request did not run. */
  MayHaveRun = 'may_have_run',
  /** The backend server has run it, at least in part. */
  Ran = 'ran'
}

/** What went wrong, as callers and operators see it. */
export enum FailureCode {
  BadRequest = 'bad_request',
  Unauthenticated = 'unauthenticated',
  Forbidden = 'forbidden',
  UnknownModel = 'unknown_model',
  UnknownRoute = 'unknown_route',
  TooLarge = 'too_large',
  DeadlinePassed = 'deadline_passed',
  DeadlineUnreachable = 'deadline_unreachable',
  AccountOverLimit = 'account_over_limit',
  QuotaUnknown = 'quota_unknown',
  Overloaded = 'overloaded',
  Quarantined = 'quarantined',
  NoBackendServer = 'no_backend_server',
  NoConfiguration = 'no_configuration',
  LogUnavailable = 'log_unavailable',
  ClaimLost = 'claim_lost',
  ClaimExpired = 'claim_expired',
  KeyReused = 'key_reused',
  Leaving = 'leaving',
  ConnectionRefused = 'connection_refused',
  ConnectionLost = 'connection_lost',
  StreamBroken = 'stream_broken',
  BackendServerRefused = 'backend_server_refused',
  BackendServerError = 'backend_server_error',
  Cancelled = 'cancelled',
  Conflict = 'conflict',
  Stale = 'stale',
  Internal = 'internal'
}

/** A failure with its verdict. Carried as the left side of an Either. */
export class Failure {
  private constructor (
    readonly code: FailureCode,
    readonly verdict: Verdict,
    readonly message: string,
    /** When a new attempt makes sense, milliseconds of Unix time, if known. */
    readonly retryAt?: number
  ) {}

  static create (code: FailureCode, verdict: Verdict, message: string, retryAt?: number): Failure {
    return new Failure(code, verdict, message, retryAt)
  }

  /** A failure before this process sent any byte of the request. */
  static notRun (code: FailureCode, message: string, retryAt?: number): Failure {
    return new Failure(code, Verdict.NotRun, message, retryAt)
  }

  /** The same failure with another verdict, when more is known. */
  withVerdict (verdict: Verdict): Failure {
    return new Failure(this.code, verdict, this.message, this.retryAt)
  }
}

/**
 * Whether a request with this verdict may be retried. A request that may
 * have run is retried only when running it twice does no harm.
 */
export function isRepeatable (verdict: Verdict, idempotent: boolean): boolean {
  return verdict === Verdict.NotRun || idempotent
}
