/**
 * All metrics in one table: names with their units, help texts, and labels whose
 * values are limited by the configuration or by an enum in the code. A test
 * checks that docs/operators/logs-and-metrics.md shows the same table.
 */
import { FIRST_TOKEN_BUCKETS_S } from 'foxtaillever-control'

export enum MetricName {
  Served = 'foxtaillever_requests_served_total',
  Refused = 'foxtaillever_requests_refused_total',
  Failed = 'foxtaillever_requests_failed_total',
  Late = 'foxtaillever_requests_late_total',
  Cancelled = 'foxtaillever_requests_cancelled_total',
  Retried = 'foxtaillever_retries_total',
  PromptTokens = 'foxtaillever_prompt_tokens_total',
  CachedTokens = 'foxtaillever_cached_prompt_tokens_total',
  RecomputedTokens = 'foxtaillever_recomputed_prompt_tokens_total',
  GeneratedTokens = 'foxtaillever_generated_tokens_total',
  AccountFirstToken = 'foxtaillever_account_first_token_seconds',
  FirstToken = 'foxtaillever_first_token_seconds',
  Waiting = 'foxtaillever_waiting_requests',
  Running = 'foxtaillever_running_requests',
  Revision = 'foxtaillever_configuration_revision',
  FoldOffset = 'foxtaillever_fold_offset',
  FoldAge = 'foxtaillever_fold_age_seconds',
  Members = 'foxtaillever_live_instances',
  HeldBytes = 'foxtaillever_held_bytes',
  LinesLeftOut = 'foxtaillever_log_lines_left_out_total',
  InvariantChecks = 'foxtaillever_invariant_checks_total',
  InvariantViolations = 'foxtaillever_invariant_violations_total',
  UncaughtErrors = 'foxtaillever_uncaught_errors_total'
}

export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Histogram = 'histogram'
}

export interface MetricRow {
  readonly kind: MetricKind
  readonly help: string
  readonly labels: readonly string[]
}

const { Counter, Gauge, Histogram } = MetricKind

export const metricTable: Record<MetricName, MetricRow> = {
  [MetricName.Served]: { kind: Counter, help: 'Requests answered completely.', labels: ['account'] },
  [MetricName.Refused]: { kind: Counter, help: 'Requests refused with verdict not_run, by the rule that refused.', labels: ['account', 'rule'] },
  [MetricName.Failed]: { kind: Counter, help: 'Requests that failed after something of them may have run, by verdict.', labels: ['account', 'verdict'] },
  [MetricName.Late]: { kind: Counter, help: 'Requests whose deadline passed before their answer was complete.', labels: ['account'] },
  [MetricName.Cancelled]: { kind: Counter, help: 'Requests whose caller left before the answer was complete.', labels: ['account'] },
  [MetricName.Retried]: { kind: Counter, help: 'Tries beyond the first one.', labels: ['account'] },
  [MetricName.PromptTokens]: { kind: Counter, help: 'Prompt tokens of requests that began to be answered, as engines count.', labels: ['account'] },
  [MetricName.CachedTokens]: { kind: Counter, help: 'Of these, tokens that the engine had cached. Divided by prompt tokens: the prefix hit rate.', labels: ['account'] },
  [MetricName.RecomputedTokens]: { kind: Counter, help: 'Of these, tokens computed although this instance sent the same prefix within the last minute: wasted recomputation.', labels: ['account'] },
  [MetricName.GeneratedTokens]: { kind: Counter, help: 'Tokens of complete answers.', labels: ['account'] },
  [MetricName.AccountFirstToken]: { kind: Histogram, help: 'Time from arrival to first token, by client account.', labels: ['account'] },
  [MetricName.FirstToken]: { kind: Histogram, help: 'Time from arrival to first token, by priority class.', labels: ['class'] },
  [MetricName.Waiting]: { kind: Gauge, help: 'Requests that wait for a backend server, by priority class.', labels: ['class'] },
  [MetricName.Running]: { kind: Gauge, help: 'Requests sent to a backend server and not yet answered completely.', labels: [] },
  [MetricName.Revision]: { kind: Gauge, help: 'Revision of the configuration in force here.', labels: [] },
  [MetricName.FoldOffset]: { kind: Gauge, help: 'Offset up to which the log is folded here.', labels: [] },
  [MetricName.FoldAge]: { kind: Gauge, help: 'Time since the log last answered a read.', labels: [] },
  [MetricName.Members]: { kind: Gauge, help: 'Entry instances alive, this one included.', labels: [] },
  [MetricName.HeldBytes]: { kind: Gauge, help: 'Bytes that callers make the process hold, by what holds them.', labels: ['holding'] },
  [MetricName.LinesLeftOut]: { kind: Counter, help: 'Log lines counted instead of written.', labels: [] },
  [MetricName.InvariantChecks]: { kind: Counter, help: 'Times that what must always hold was looked at.', labels: ['invariant'] },
  [MetricName.InvariantViolations]: { kind: Counter, help: 'Times that it did not hold: a fault of the program, to be reported.', labels: ['invariant'] },
  [MetricName.UncaughtErrors]: { kind: Counter, help: 'Errors that nothing that concerns one request or task caught: a fault of the program, to be reported.', labels: [] }
}

/** Upper bounds of the buckets; the library adds the unbounded one. */
export const HISTOGRAM_BUCKETS_S: readonly number[] = FIRST_TOKEN_BUCKETS_S.filter(end => end !== Infinity)
