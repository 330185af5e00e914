/**
 * Logs, metrics and decision record of one instance, from what the router core
 * reports about its requests.
 */
import { FailureCode, PriorityClass, type Clock, type Failure, type StreamEnd, type StreamStart } from 'foxtaillever-core'
import { DecisionKind, type Decision, type Explanation, type Figures } from 'foxtaillever-control'
import type { Assignment, Job } from 'foxtaillever-policy'
import { DecisionRecord } from './decisionRecord.js'
import { Logs, Part, type Subject } from 'foxtaillever-telemetry'
import { MetricName } from './metricTable.js'
import { Metrics, type MetricReader } from './metrics.js'
import { readFigures } from './readFigures.js'
import type { RequestObserver } from './requestObserver.js'
import { SentPrefixes } from './sentPrefixes.js'

export interface TelemetryOptions {
  readonly instance: string
  readonly clock: Clock
  readonly logs: Logs
}

/** Current requests of one client account. */
export interface LiveCount {
  readonly waiting: number
  readonly running: number
}

interface LiveRequest {
  readonly job: Job
  running: boolean
  /** Length in tokens of its longest prefix that had been sent recently when it was sent. */
  sentBefore: number
}

type Detail = Partial<Omit<Decision, 'kind' | 'at'>>

export class Telemetry implements RequestObserver {
  readonly metrics = Metrics.create()
  private readonly decisionRecord: DecisionRecord
  private readonly live = new Map<string, LiveRequest>()
  private readonly prefixes = SentPrefixes.create()
  private readonly startedAt: number

  private constructor (private readonly options: TelemetryOptions) {
    this.decisionRecord = DecisionRecord.create(options.instance)
    this.startedAt = options.clock.now()
    this.metrics.onRead(() => this.readLiveRequests())
  }

  static create (options: TelemetryOptions): Telemetry {
    return new Telemetry(options)
  }

  explain (requestId: string): Explanation | undefined {
    return this.decisionRecord.find(requestId)
  }

  async figures (account?: string): Promise<Figures> {
    return await readFigures(this.metrics, this.startedAt, this.options.clock.now(), account)
  }

  liveCount (account: string): LiveCount {
    const own = [...this.live.values()].filter(({ job }) => job.account === account)
    const running = own.filter(request => request.running).length
    return { waiting: own.length - running, running }
  }

  /** Sizes of the tables, for the dump. */
  dump (): Readonly<Record<string, number>> {
    return { requestsHere: this.live.size, requestsExplainable: this.decisionRecord.size(), logLinesLeftOut: this.options.logs.leftOut() }
  }

  arrived (job: Job): void {
    this.decisionRecord.addRequest(job)
    this.live.set(job.id, { job, running: false, sentBefore: 0 })
    this.recordDecision(job, DecisionKind.Arrived, { message: `class ${job.priority}, ${job.promptTokens} prompt tokens, ${job.idempotent ? 'idempotent' : 'non-idempotent'}` })
  }

  refused (job: Job, rule: string, failure: Failure): void {
    this.live.delete(job.id)
    this.metrics.count(MetricName.Refused, { account: job.account, rule })
    this.countLate(job, failure)
    this.recordDecision(job, DecisionKind.Refused, { rule, verdict: failure.verdict, message: failure.message })
    this.options.logs.write('info', Part.Requests, 'A request is refused.', this.subject(job, { rule, code: failure.code, verdict: failure.verdict }))
  }

  /** A call was refused before it became a request, such as for an unknown key or a malformed body. */
  rejected (requestId: string, failure: Failure): void {
    this.metrics.count(MetricName.Refused, { account: '', rule: failure.code })
    this.options.logs.write('info', Part.Callers, 'A call was refused before it became a request.', { request: requestId, code: failure.code, verdict: failure.verdict })
  }

  assigned (job: Job, { server, candidates, rule }: Assignment): void {
    const request = this.live.get(job.id)
    const now = this.options.clock.now()
    if (request) {
      request.running = true
      request.sentBefore = this.prefixes.longestPrefix(job.account, job.model, job.levels, now)
    }
    this.prefixes.add(job.account, job.model, job.levels, now)
    this.recordDecision(job, DecisionKind.Placed, { server, candidates, rule })
  }

  claimed (job: Job, server: string): void {
    this.recordDecision(job, DecisionKind.Claimed, { server, message: 'The claim stands in the log.' })
  }

  started (job: Job, server: string, { promptTokens, cachedTokens }: StreamStart): void {
    const { account } = job
    const sentBefore = this.live.get(job.id)?.sentBefore ?? 0
    this.metrics.count(MetricName.PromptTokens, { account }, promptTokens)
    this.metrics.count(MetricName.CachedTokens, { account }, cachedTokens)
    this.metrics.count(MetricName.RecomputedTokens, { account }, Math.max(0, Math.min(sentBefore, promptTokens) - cachedTokens))
    this.recordDecision(job, DecisionKind.Started, { server, message: `${cachedTokens} of ${promptTokens} prompt tokens were cached` })
  }

  firstToken (job: Job, server: string): void {
    const seconds = (this.options.clock.now() - job.arrivedAt) / 1000
    this.metrics.observe(MetricName.FirstToken, { class: job.priority }, seconds)
    this.metrics.observe(MetricName.AccountFirstToken, { account: job.account }, seconds)
    this.recordDecision(job, DecisionKind.FirstToken, { server })
  }

  retried (job: Job, server: string, failure: Failure): void {
    const request = this.live.get(job.id)
    if (request) {
      request.running = false
    }
    this.metrics.count(MetricName.Retried, { account: job.account })
    this.recordDecision(job, DecisionKind.Retried, { server, verdict: failure.verdict, message: failure.message })
    this.options.logs.write('warn', Part.Servers, 'An attempt failed; the request is retried.', this.subject(job, { server, code: failure.code, verdict: failure.verdict }))
  }

  failed (job: Job, server: string, failure: Failure): void {
    this.live.delete(job.id)
    this.metrics.count(MetricName.Failed, { account: job.account, verdict: failure.verdict })
    this.countLate(job, failure)
    this.recordDecision(job, DecisionKind.Failed, { server, verdict: failure.verdict, message: failure.message })
    this.options.logs.write('warn', Part.Requests, 'A request failed.', this.subject(job, { server, code: failure.code, verdict: failure.verdict }))
  }

  finished (job: Job, server: string, { completionTokens }: StreamEnd): void {
    this.live.delete(job.id)
    this.metrics.count(MetricName.Served, { account: job.account })
    this.metrics.count(MetricName.GeneratedTokens, { account: job.account }, completionTokens)
    this.recordDecision(job, DecisionKind.Finished, { server, message: `${completionTokens} tokens` })
    this.options.logs.write('debug', Part.Requests, 'A request is answered.', this.subject(job, { server }))
  }

  cancelled (job: Job, server: string): void {
    this.live.delete(job.id)
    this.metrics.count(MetricName.Cancelled, { account: job.account })
    this.recordDecision(job, DecisionKind.Cancelled, { server, message: 'The caller left.' })
  }

  private countLate (job: Job, { code }: Failure): void {
    if (code === FailureCode.DeadlinePassed) {
      this.metrics.count(MetricName.Late, { account: job.account })
    }
  }

  private recordDecision (job: Job, kind: DecisionKind, detail: Detail): void {
    this.decisionRecord.addDecision(job.id, { kind, at: this.options.clock.now(), rule: '', server: '', candidates: [], message: '', ...detail })
  }

  private subject ({ id, account }: Job, rest: Subject): Subject {
    return { request: id, account, ...rest }
  }

  private readLiveRequests (): ReturnType<MetricReader> {
    const all = [...this.live.values()]
    const waiting = Object.values(PriorityClass).map(name => ({
      name: MetricName.Waiting,
      labels: { class: name },
      value: all.filter(({ job, running }) => !running && job.priority === name).length
    }))
    return [
      ...waiting,
      { name: MetricName.Running, value: all.filter(({ running }) => running).length },
      { name: MetricName.LinesLeftOut, value: this.options.logs.leftOut() }
    ]
  }
}
