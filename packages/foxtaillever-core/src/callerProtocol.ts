/**
 * Header names of the callers' protocol, including those that the completions
 * protocol lacks.
 */
export enum CallerHeader {
  Authorization = 'authorization',
  IdempotencyKey = 'idempotency-key',
  /** The request runs at most once; needs an idempotency key. */
  NonIdempotent = 'x-non-idempotent',
  /** Absolute deadline, milliseconds of Unix time. */
  Deadline = 'x-request-deadline',
  /** Time from arrival to deadline, for callers without an accurate clock. */
  Timeout = 'x-request-timeout-ms',
  Priority = 'x-priority',
  RequestId = 'x-request-id',
  /** The stream continues when its caller's connection is lost, so that it can be resumed. */
  KeepStream = 'x-keep-stream',
  /** On a streamed answer: resumes it through any instance. */
  StreamToken = 'x-stream-token',
  Verdict = 'x-verdict',
  RetryAfter = 'retry-after'
}
