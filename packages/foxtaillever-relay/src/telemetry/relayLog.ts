/**
 * Log lines of the relay: one for each decision that affects a request or
 * changes the state of the process, and the metrics that go with them.
 */
import type { Failure, Verdict } from 'foxtaillever-core'
import type { LimitOutcome, LimitRole } from 'foxtaillever-policy/limits/sharedLimitLedger'
import type { StatedLimit } from 'foxtaillever-policy/limits/statedLimits'
import type { Quarantine } from 'foxtaillever-policy/crashes/quarantineTable'
import type { CrashSummary } from 'foxtaillever-policy/crashes/suspicion'
import type { ExpectedStart } from 'foxtaillever-policy/relay/yieldPriority'
import { Metrics, Part, type Logs, type Subject } from 'foxtaillever-telemetry'
import type { AttemptFailure } from '../attempts/attemptFailure.js'
import { AdmissionOutcome } from '../admission/admissionMessage.js'
import type { AdmissionResult } from '../admission/admissionProtocol.js'
import { LimitScope } from '../limits/limitMessage.js'
import type { LimitResult } from '../limits/limitProtocol.js'
import { ExchangeEnd } from '../exchange/exchangeEnd.js'
import type { PendingAnswer } from '../callers/pendingAnswer.js'
import type { CapClosure } from '../callers/connectionCap.js'
import type { Door } from '../callers/serverGuard.js'
import type { BodyExcess } from '../servers/byteBounds.js'
import type { ListedServer } from '../model/listedServer.js'
import { sharedLevelsOf, type Exchange, type ExchangeHead } from '../model/exchange.js'
import type { CarriedRequest, ExchangeOutcome, LastHeard } from './requestOutcome.js'

/** Summarizes the state of the process, and of a service if one is given. */
export type DescribeState = (service?: string) => Subject

/** Where bytes come from. */
export enum ByteSource {
  Server = 'server',
  Instance = 'instance',
  Caller = 'caller'
}

/** From this status on, the backend server itself reports a failure. */
const SERVER_ERROR = 500

export class RelayLog {
  private constructor (private readonly logs: Logs, readonly metrics: Metrics, private readonly describeState: DescribeState) {}

  static create (logs: Logs, describeState: DescribeState = () => ({})): RelayLog {
    return new RelayLog(logs, Metrics.create('foxtaillever_'), describeState)
  }

  refused (head: ExchangeHead, { code, verdict, message }: Failure): void {
    this.metrics.count('refusals_total', { code })
    this.logs.writeFailure(Part.Callers, 'Refused a request.', { request: head.id, code, verdict, reason: message, host: head.host, path: head.path, ...this.describeState() })
  }

  /** @param longestWaitMs longest time that the connection may have waited before this process looked at it. */
  connectionTurnedAway (outcome: 'closed' | 'refused', longestWaitMs: number, delayMs: number): void {
    this.metrics.count('connections_turned_away_total', { outcome })
    this.logs.write('info', Part.Callers, 'Turned a new connection away.', { outcome, longestWaitMs: Math.round(longestWaitMs), delayMs: Math.round(delayMs) })
  }

  /** A request arrived on a connection that closes after an earlier answer, which says so. */
  ignoredAfterLast (): void {
    this.metrics.count('requests_ignored_total')
    this.logs.write('info', Part.Callers, 'Ignores a request, because an answer before it closes the connection.', {})
  }

  /** A request was refused before its head was examined or its body was read. */
  refusedForResources ({ code, verdict, message }: Failure): void {
    this.metrics.count('refusals_total', { code })
    this.logs.writeFailure(Part.Callers, 'Refused a request for want of memory or descriptors.', { code, verdict, reason: message, ...this.describeState() })
  }

  /** A server of the process had as many connections as it may have. */
  connectionCapped (door: Door, closure: CapClosure): void {
    this.metrics.count('connections_capped_total', { door, closed: closure })
    this.logs.write('warn', Part.Callers, 'Closed a connection, because there are as many as may be open.', { door, closed: closure })
  }

  /** The memory has no room for the head of a request that is not complete. */
  openHeadExcess (door: Door): void {
    this.metrics.count('open_heads_refused_total', { door })
    this.logs.write('warn', Part.Callers, 'Closed a connection whose request has no complete head, for want of memory.', { door })
  }

  /** A caller does not read its answer, and the memory has no room for bytes of others. */
  unreadAnswerCut (): void {
    this.metrics.count('unread_answers_cut_total')
    this.logs.write('warn', Part.Callers, 'Cut an answer that its caller does not read, for want of memory.', {})
  }

  /** More bytes followed a request on its connection than may wait for its answer. */
  pipelinedExcess (door: Door): void {
    this.metrics.count('pipelined_excess_total', { door })
    this.logs.write('info', Part.Callers, 'Closes a connection after an answer, because too much followed the request.', { door })
  }

  /** A connection ended, by its caller or by this process, before the caller had the complete answer. */
  closedUnsent (answer: PendingAnswer, now: number): void {
    this.metrics.count('answers_unsent_total', { when: 'connection-closed' })
    this.logs.writeFailure(Part.Callers, 'A connection closed before its answer was written out.', describePending(answer, now))
  }

  /** The process ends, and its connections with it. Only some of many answers are named. */
  stopsUnsent (answer: PendingAnswer, now: number): void {
    this.metrics.count('answers_unsent_total', { when: 'process-ended' })
    this.logs.write('warn', Part.Callers, 'Stops before an answer is written out.', describePending(answer, now))
  }

  malformed (reason: string): void {
    this.metrics.count('malformed_total')
    this.logs.write('warn', Part.Callers, 'Got a malformed request.', { reason })
  }

  firstEvent (exchange: Exchange, now: number): void {
    this.metrics.observe('first_event_ms', {}, now - exchange.arrivedAt)
    this.logs.write('debug', Part.Requests, 'Passed on the first event.', { request: exchange.id, afterMs: Math.round(now - exchange.arrivedAt) })
  }

  /** @param softwareVersion at which the stream may go on; undefined where several serve and no instance knows which began it. */
  takenUp ({ id: request, resumedId, resumeAfter, service }: Exchange, isKnown: boolean, softwareVersion: string | undefined, ms: number): void {
    this.metrics.count('streams_taken_up_total', { service, known: String(isKnown) })
    this.logs.write('info', Part.Requests, 'A caller takes up a stream.', { request, resumes: resumedId, lastEventId: resumeAfter, origin: isKnown ? 'known' : 'unknown', softwareVersion, searchMs: Math.round(ms) })
  }

  /** Another server goes on with a stream, for the same caller's attempt or for one that takes the stream up. */
  continued ({ id: request, resumedId }: Exchange, { id: server, softwareVersion }: ListedServer, lastEventId: string): void {
    this.metrics.count('streams_continued_total', { attempt: resumedId === '' ? 'same' : 'next' })
    this.logs.write('info', Part.Requests, 'Goes on with a stream.', { request, resumes: resumedId, server, softwareVersion, lastEventId })
  }

  /**
   * @param server undefined if none was chosen.
   * @param heard tells a server that is down from links of this instance that are down.
   */
  attemptFailed (exchange: Exchange, server: ListedServer | undefined, { kind, detail, isOnReusedConnection, sentForMs }: AttemptFailure, verdict: Verdict, { serverAt, anyServerAt, now, forwarder, answeredAt }: LastHeard): void {
    this.metrics.count('tries_failed_total', { kind })
    this.logs.writeFailure(Part.Requests, 'A try failed.', {
      request: exchange.id, account: exchange.account?.name, sharedLevels: sharedLevelsOf(exchange).map(({ id }) => id).join(' ') || undefined, server: server?.id ?? '', state: server?.state, kind, detail, verdict, forwarder, answeringMs: answeredAt === undefined ? undefined : Math.round(now - answeredAt), connection: isOnReusedConnection === true ? 'kept' : undefined, sentForMs: sentForMs === undefined ? undefined : Number(sentForMs.toFixed(1)), heardMsAgo: millisecondsSince(serverAt, now), anyHeardMsAgo: millisecondsSince(anyServerAt, now), listAgeMs: this.describeState().listAgeMs
    })
  }

  /** @param available what is left of this instance's share of the retry budget, in retries. */
  retryDecided ({ id: request, account, service }: Exchange, isAllowed: boolean, available: number): void {
    this.metrics.count('retries_total', { service, allowed: String(isAllowed) })
    this.logs.write('info', Part.Requests, isAllowed ? 'Retries at another backend server.' : 'The retry budget is used up.', { request, account: account?.name, service, available: Number(available.toFixed(2)) })
  }

  /** A step of an exchange, or of a request that this instance carries for another, threw; that request has ended. */
  stepFailed ({ id: request }: Pick<Exchange, 'id'>, error: unknown): void {
    this.metrics.count('step_errors_total')
    this.logs.write('error', Part.Requests, 'An unexpected error ended a request.', { request, ...describeError(error) })
  }

  /** An error reached the process, because nothing that concerns one request or task caught it. */
  uncaught (error: unknown): void {
    this.metrics.count('uncaught_errors_total')
    this.logs.write('error', Part.Process, 'Uncaught error; the process keeps running.', describeError(error))
  }

  /** This instance's own link to the server is broken; another instance carries the request. */
  forwarded ({ id: request, account }: Exchange, server: string, forwarder: string): void {
    this.metrics.count('requests_forwarded_total')
    this.logs.write('info', Part.Requests, 'Sent through another instance.', { request, account: account?.name, server, forwarder })
  }

  /** This instance carried a request of another one to a server. */
  carried (subject: CarriedRequest): void {
    this.metrics.count('requests_carried_total', { outcome: subject.outcome })
    const isCut = subject.answeringMs !== undefined && subject.outcome !== ExchangeEnd.Answered
    const sentence = 'Carried a request of another instance.'
    if (isCut) {
      this.logs.writeFailure(Part.Requests, sentence, { ...subject })
    } else {
      this.logs.write('info', Part.Requests, sentence, { ...subject })
    }
  }

  /** The queue at its server would make the request late; it goes behind requests that can be in time. */
  yields (exchange: Exchange, server: string, { waitMs, readMs, objectiveMs }: ExpectedStart): void {
    this.metrics.count('requests_yielding_total', { route: exchange.route.name })
    this.logs.write('info', Part.Requests, 'Yields to requests that can be in time.', { request: exchange.id, server, waitMs: Math.round(waitMs), readMs: Math.round(readMs), objectiveMs })
  }

  /** @param requestedAt when the decision was requested, milliseconds of Unix time. */
  quotaRefused ({ id, account }: Exchange, { outcome, role, decidedBy, retryAt }: LimitResult, cost: number, requestedAt: number, now: number): void {
    const { quota, name } = account ?? {}
    this.metrics.count('quota_refusals_total', { outcome, role })
    this.logs.writeFailure(Part.Requests, 'Refused by the quota of its client account.', {
      request: id, account: name, outcome, role, decidedBy, cost, perSecond: quota?.perSecond, burst: quota?.burst, waitedMs: Math.round(now - requestedAt), retryMs: Math.round(retryAt - now)
    })
  }

  /** This instance made a limit decision, for itself or for another instance. */
  limitDecided (scope: LimitScope, role: LimitRole, outcome: LimitOutcome): void {
    this.metrics.count('limit_decisions_total', { scope: LimitScope[scope], role, outcome })
  }

  /** A server stated a limit that is not a valid rate; the previous limit stays in force. */
  limitUnreadable (server: string, text: string): void {
    this.metrics.count('server_limits_unreadable_total')
    this.logs.writeFailure(Part.Requests, 'A backend server stated a limit that cannot be read.', { server, text })
  }

  sentUnderLimit ({ id: request }: Exchange, server: string, { perSecond, at }: StatedLimit, now: number): void {
    this.metrics.count('sent_under_server_limit_total', { server })
    this.logs.write('info', Part.Requests, 'Sends to a backend server that stated a limit.', { request, server, perSecond, statedMsAgo: Math.round(now - at) })
  }

  /** The server's limit leaves no room for a request, which goes to another server or is refused. */
  serverLimitRefused ({ id: request }: Exchange, server: string, { perSecond, at }: StatedLimit, { outcome, role, decidedBy, retryAt }: LimitResult, now: number): void {
    this.metrics.count('server_limit_refusals_total', { outcome, role })
    this.logs.writeFailure(Part.Requests, 'A backend server has no room under the limit that it stated.', {
      request, server, perSecond, statedMsAgo: Math.round(now - at), outcome, role, decidedBy, retryMs: Math.round(retryAt - now)
    })
  }

  /** A request of this instance was queued for the first time, or decided. */
  admissionDecided (outcome: AdmissionOutcome, waitedMs: number): void {
    this.metrics.count('admissions_total', { outcome: AdmissionOutcome[outcome] })
    if (outcome !== AdmissionOutcome.Queued) {
      this.metrics.observe('admission_wait_ms', { outcome: AdmissionOutcome[outcome] }, waitedMs)
    }
  }

  /** Called once for each request, however often it is renewed. */
  admissionQueued ({ id: request, account }: Exchange, server: string, { decidedBy, backlogMs }: AdmissionResult): void {
    this.logs.write('info', Part.Requests, 'Waits for admission at a backend server.', { request, account: account?.name, server, backlogMs: Math.round(backlogMs), decidedBy })
  }

  /** @param requestedAt when the request first asked for admission, milliseconds of Unix time. */
  admittedAfterWaiting ({ id: request, account }: Exchange, server: string, { decidedBy, backlogMs }: AdmissionResult, requestedAt: number, now: number): void {
    this.logs.write('info', Part.Requests, 'Admitted at a backend server after waiting.', { request, account: account?.name, server, waitedMs: Math.round(now - requestedAt), backlogMs: Math.round(backlogMs), decidedBy })
  }

  /** @param requestedAt when the request first asked for admission, milliseconds of Unix time. */
  admissionRejected ({ id: request, account }: Exchange, server: string, { decidedBy, backlogMs, retryAt }: AdmissionResult, requestedAt: number, now: number): void {
    this.logs.writeFailure(Part.Requests, 'Rejected: a backend server has no room before the latest start.', { request, account: account?.name, server, waitedMs: Math.round(now - requestedAt), backlogMs: Math.round(backlogMs), retryMs: Math.round(retryAt - now), decidedBy })
  }

  /** The request waits at one server, and another one did not take it. */
  moveRejected ({ id: request, account }: Exchange, server: string, rejectedBy: string, { outcome, decidedBy, backlogMs }: AdmissionResult): void {
    this.logs.write('info', Part.Requests, 'Stays in the queue of a backend server, because another one has no room.', { request, account: account?.name, server, rejectedBy, outcome: AdmissionOutcome[outcome], backlogMs: Math.round(backlogMs), decidedBy })
  }

  leavingStated (server: string, request: string | undefined, isNew: boolean): void {
    this.metrics.count('server_statements_total', { kind: 'leaving' })
    if (isNew) {
      this.logs.write('info', Part.Requests, 'A backend server says in an answer that it leaves.', { request, server })
    }
  }

  backoffRequested (server: string, request: string | undefined, restMs: number): void {
    this.metrics.count('server_statements_total', { kind: 'rest' })
    this.logs.writeFailure(Part.Requests, 'A backend server asks for rest.', { request, server, restMs: Math.round(restMs) })
  }

  backoffUnreadable (server: string, text: string): void {
    this.metrics.count('server_statements_total', { kind: 'unreadable-rest' })
    this.logs.writeFailure(Part.Requests, 'A backend server asks for rest, and the time cannot be read.', { server, text })
  }

  /** This instance reports requests that were in flight when a server ended. */
  /** @param hasEnded whether the server is known to have ended; otherwise its heartbeats tell. */
  crashReported (service: string, server: number, lost: number, hasEnded: boolean): void {
    this.metrics.count('server_crashes_reported_total', { service })
    this.logs.write('info', Part.Fleet, 'Reports requests that were in flight when a backend server ended.', { service, incarnation: server, lost, state: hasEnded ? 'ended' : 'not reached' })
  }

  /** The connections of a backend server broke and it still writes its entry, so it has not crashed; or it does not. */
  heartbeatChecked (service: string, server: number, isBeating: boolean): void {
    this.metrics.count('server_heartbeat_checks_total', { service, beating: String(isBeating) })
    this.logs.write('info', Part.Fleet, 'Checked whether a backend server that is not reached still writes its entry.', { service, incarnation: server, outcome: isBeating ? 'alive' : 'ended' })
  }

  /** This instance found levels of prompts to have been in flight at several crashes. */
  levelSuspected (service: string, levels: readonly string[]): void {
    this.metrics.count('levels_suspected_total', { service })
    this.logs.write('info', Part.Fleet, 'Levels of prompts were in flight at several crashes since they were last answered.', { service, levels: levels.join(' ') })
  }

  /** Whether a request with suspected levels is sent now. */
  trialDecided (levels: readonly string[], isGranted: boolean): void {
    this.metrics.count('level_trials_total', { granted: String(isGranted) })
    this.logs.write('info', Part.Requests, isGranted ? 'Tries a suspected level of prompts.' : 'A suspected level of prompts is being tried already.', { levels: levels.join(' ') })
  }

  /** @param crashes those that prove the cause. */
  causeProven (service: string, { kind, id }: Pick<Quarantine, 'kind' | 'id'>, crashes: readonly CrashSummary[], now: number): void {
    const [agesMs, lost, own] = [crashes.map(({ at }) => Math.round(now - at)), crashes.map(({ lost }) => lost), crashes.map(({ own }) => own)].map(counts => counts.join(' '))
    this.logs.write('warn', Part.Fleet, 'Crashes of backend servers prove their cause.', { service, kind, id, incarnations: crashes.map(({ server }) => server).join(' '), agesMs, lost, own, trials: crashes.filter(({ isTrial }) => isTrial).length })
  }

  /** @param how it was proven, received, widened to all accounts, or lifted. */
  quarantineChanged ({ kind, id, account, servers, revision, isLifted }: Quarantine, how: string): void {
    this.metrics.count('quarantine_changes_total', { kind, how })
    this.logs.write('warn', Part.Fleet, isLifted ? 'A quarantine was lifted.' : 'Requests are refused because they crash backend servers.', { kind, id, account, servers: servers.length, revision, how })
  }

  /** The connection of a body that exceeded its bound was closed. */
  bodyExceeded (source: ByteSource, from: string, excess: BodyExcess): void {
    this.metrics.count('bodies_exceeded_total', { source, excess })
    this.logs.writeFailure(Part.Requests, 'Closed a connection whose body exceeded its bound.', { source, from, excess })
  }

  silent (exchange: Exchange, server: string, isOnReusedConnection: boolean): void {
    const connection = isOnReusedConnection ? 'kept' : 'new'
    this.metrics.count('silent_servers_total', { connection })
    this.logs.writeFailure(Part.Requests, 'A backend server is silent.', { request: exchange.id, server, connection })
  }

  /** No server takes a request whose own server is silent, so it stays there. */
  notReplaced ({ id: request, account }: Exchange, server: string, reason: string): void {
    this.metrics.count('silent_attempts_total', { outcome: 'stayed' })
    this.logs.write('info', Part.Requests, 'A request stays with its silent server.', { request, account: account?.name, server, reason })
  }

  /** @param isReplacement whether another server than the silent one went on first. */
  silenceEnded ({ id: request, account }: Exchange, server: string, isReplacement: boolean): void {
    const outcome = isReplacement ? 'replaced' : 'resumed'
    this.metrics.count('silent_attempts_total', { outcome })
    this.logs.write('info', Part.Requests, 'A request goes on after its server was silent.', { request, account: account?.name, server, outcome })
  }

  ended ({ exchange, end, outcome, verdict, servers, pace, now, reason, incomplete }: ExchangeOutcome): void {
    const ms = Math.round(now - exchange.arrivedAt)
    const { id: request, account, route } = exchange
    this.metrics.count('requests_total', { end, outcome, verdict })
    this.metrics.observe('request_ms', { end }, ms)
    if (incomplete && end === ExchangeEnd.Failed) {
      this.metrics.count('answers_cut_total', { cause: outcome, attempt: incomplete.attempt })
    }
    const subject = { request, account: account?.name, route: route.name, end, outcome, verdict, servers: servers.join(' '), ms, ...pace, promptTokens: exchange.prompt?.promptTokens, ...incomplete }
    const isFailure = end === ExchangeEnd.Failed || Number(outcome) >= SERVER_ERROR
    if (isFailure) {
      this.logs.writeFailure(Part.Requests, `Ended: ${end}.`, { ...subject, reason, ...this.describeState(exchange.service) })
    } else {
      this.logs.write('info', Part.Requests, `Ended: ${end}.`, subject)
    }
  }

  belief (sentence: string, subject: Subject): void {
    this.metrics.count('beliefs_total', { sentence })
    this.logs.write('info', Part.Fleet, sentence, subject)
  }

  trouble (sentence: string, subject: Subject): void {
    this.metrics.count('troubles_total', { sentence })
    this.logs.write('warn', Part.Fleet, sentence, subject)
  }
}

function describeError (error: unknown): Subject {
  const { message, stack } = error instanceof Error ? error : new Error(String(error))
  return { reason: message, stack }
}

function describePending ({ requestId, unsentBytes, completeAt }: PendingAnswer, now: number): Subject {
  return { request: requestId, unsentBytes, completeForMs: completeAt === undefined ? undefined : Math.round(now - completeAt) }
}

/** Undefined for a time of 0, which stands for never. */
function millisecondsSince (at: number, now: number): number | undefined {
  return at === 0 ? undefined : Math.round(now - at)
}
