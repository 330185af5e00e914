/**
 * Names of the callers' protocol beyond the usual completions calls.
 */
export enum CallerHeader {
  Authorization = 'authorization',
  IdempotencyKey = 'idempotency-key',
  /** The request runs at most once; needs an idempotency key. */
  NonIdempotent = 'x-non-idempotent',
  /** Absolute deadline, milliseconds of Unix time. */
  Deadline = 'x-request-deadline',
  /** Deadline counted from arrival, for callers without a good clock. */
  Timeout = 'x-request-timeout-ms',
  Priority = 'x-priority',
  RequestId = 'x-request-id',
  /** The stream goes on when its caller is cut off, so that it can be taken up again. */
  KeepStream = 'x-keep-stream',
  /** On a streamed answer: opens it again through any instance. */
  StreamToken = 'x-stream-token',
  Verdict = 'x-verdict',
  RetryAfter = 'retry-after'
}
