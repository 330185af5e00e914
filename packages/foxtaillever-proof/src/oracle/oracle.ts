/**
 * Records what callers sent and received and what engines ran, and checks the
 * promises against both. It knows nothing of how the router works.
 */
import { Verdict, type Failure, type StreamEnd } from 'foxtaillever-core'
import { answerKey, answerToken } from 'foxtaillever-standins'
import type { EngineRun } from '../world/engineHost.js'

/** A request as a caller sent it once, and what the caller received for it. */
export interface SentRequest {
  readonly id: string
  readonly account: string
  /** Empty for idempotent requests. */
  readonly idempotencyKey: string
  readonly prompt: string
  readonly tokens: number
  /** Instance that currently handles the request. */
  entry: string
  /** True time, milliseconds; moved later when the caller reconnects to its stream. */
  deadline: number
  readonly received: string[]
  finalEvents: number
  failure: Failure | undefined
  isWhole: boolean
  /** The instance died or the caller disconnected, so no final event is expected. */
  isExcused: boolean
}

export enum OraclePromise {
  OwnAnswerInOrder = 'own-answer-in-order',
  AnswerWhole = 'answer-whole',
  NotRunIsTrue = 'not-run-is-true',
  AtMostOnce = 'at-most-once',
  OneFinalEvent = 'one-last-word',
  AnsweredByDeadline = 'answered-by-deadline',
  OwnStatementAtOnce = 'own-word-at-once',
  OneOrderSender = 'one-giver-of-orders',
  SameConfiguration = 'same-configuration'
}

export interface Violation {
  readonly promise: OraclePromise
  readonly detail: string
}

/** How long after a deadline the final event may still come, milliseconds: allows for a timer tick and the error of a clock. */
export const FINAL_EVENT_GRACE_MS = 1500

export class Oracle {
  readonly sentRequests: SentRequest[] = []
  readonly runs: EngineRun[] = []
  readonly violations: Violation[] = []
  checks = 0

  static create (): Oracle {
    return new Oracle()
  }

  expect (promise: OraclePromise, holds: boolean, detail: () => string): void {
    this.checks += 1
    if (!holds) {
      this.violations.push({ promise, detail: detail() })
    }
  }

  recordRun (run: EngineRun): void {
    this.runs.push(run)
    if (run.idempotencyKey === '') {
      return
    }
    const sameKeyRuns = this.runs.filter(other => other.idempotencyKey === run.idempotencyKey && other.account === run.account)
    this.expect(OraclePromise.AtMostOnce, sameKeyRuns.length === 1, () => sameKeyRuns.map(other => `${other.requestId} at ${other.engine}`).join(', '))
  }

  checkToken (sentRequest: SentRequest, sequence: number, text: string): void {
    sentRequest.received.push(text)
    const index = sentRequest.received.length
    const expectedText = answerToken(answerKey(sentRequest.prompt), index)
    this.expect(OraclePromise.OwnAnswerInOrder, sequence === index && text === expectedText, () => `${sentRequest.id}: token ${sequence} as number ${index}`)
  }

  recordFinish (sentRequest: SentRequest, end: StreamEnd): void {
    this.recordFinalEvent(sentRequest)
    sentRequest.isWhole = true
    const { received, tokens } = sentRequest
    this.expect(OraclePromise.AnswerWhole, received.length === tokens && end.completionTokens === tokens, () => `${sentRequest.id}: ${received.length} of ${tokens}`)
  }

  recordFailure (sentRequest: SentRequest, failure: Failure): void {
    this.recordFinalEvent(sentRequest)
    sentRequest.failure = failure
  }

  private recordFinalEvent (sentRequest: SentRequest): void {
    sentRequest.finalEvents += 1
    this.expect(OraclePromise.OneFinalEvent, sentRequest.finalEvents === 1, () => `${sentRequest.id}: ${sentRequest.finalEvents}`)
  }

  /** Called after each step of time, also at the end when all requests have ended. */
  checkDeadlines (now: number, isPaused: (entry: string) => boolean): void {
    for (const sentRequest of this.sentRequests) {
      const isDue = sentRequest.deadline + FINAL_EVENT_GRACE_MS < now && !sentRequest.isExcused && !isPaused(sentRequest.entry)
      if (isDue) {
        this.expect(OraclePromise.AnsweredByDeadline, sentRequest.finalEvents > 0, () => `${sentRequest.id} through ${sentRequest.entry}`)
      }
    }
  }

  /** Called at the end, because a run that begins after the caller got "not run" is a violation as well. */
  checkNotRun (): void {
    for (const { id, failure } of this.sentRequests) {
      if (failure?.verdict === Verdict.NotRun) {
        const run = this.runs.find(other => other.requestId === id || other.requestId.startsWith(`${id}.`))
        this.expect(OraclePromise.NotRunIsTrue, run === undefined, () => `${id} ran at ${run?.engine}, yet ${failure.message}`)
      }
    }
  }
}
