/**
 * What callers sent and received and what engines ran, and the questions that
 * the promises put to both. It knows nothing of how the router works.
 */
import { Verdict, type Failure, type StreamEnd } from 'foxtaillever-core'
import { answerKey, answerToken } from 'foxtaillever-standins'
import type { EngineRun } from '../world/engineHost.js'

/** One sending of one request by a caller. */
export interface Sending {
  readonly id: string
  readonly account: string
  /** Empty for idempotent requests. */
  readonly idempotencyKey: string
  readonly prompt: string
  readonly tokens: number
  /** Instance through which it goes at present. */
  entry: string
  /** True time, milliseconds; later when the caller comes back for its stream. */
  deadline: number
  readonly received: string[]
  lastWords: number
  failure: Failure | undefined
  isWhole: boolean
  /** The instance died, or the caller left: no last word is owed. */
  isExcused: boolean
}

export enum Promised {
  OwnAnswerInOrder = 'own-answer-in-order',
  AnswerWhole = 'answer-whole',
  NotRunIsTrue = 'not-run-is-true',
  AtMostOnce = 'at-most-once',
  OneLastWord = 'one-last-word',
  AnsweredByDeadline = 'answered-by-deadline',
  OwnWordAtOnce = 'own-word-at-once',
  OneGiverOfOrders = 'one-giver-of-orders',
  SameConfiguration = 'same-configuration'
}

export interface Violation {
  readonly promise: Promised
  readonly detail: string
}

/** Time after a deadline in which the last word must have come, milliseconds; a tick and a clock's error. */
export const LAST_WORD_MS = 1500

export class Oracle {
  readonly sendings: Sending[] = []
  readonly runs: EngineRun[] = []
  readonly violations: Violation[] = []
  checks = 0

  static create (): Oracle {
    return new Oracle()
  }

  expect (promise: Promised, holds: boolean, detail: () => string): void {
    this.checks += 1
    if (!holds) {
      this.violations.push({ promise, detail: detail() })
    }
  }

  ran (run: EngineRun): void {
    this.runs.push(run)
    if (run.idempotencyKey === '') {
      return
    }
    const same = this.runs.filter(other => other.idempotencyKey === run.idempotencyKey && other.account === run.account)
    this.expect(Promised.AtMostOnce, same.length === 1, () => same.map(other => `${other.requestId} at ${other.engine}`).join(', '))
  }

  token (sending: Sending, sequence: number, text: string): void {
    sending.received.push(text)
    const index = sending.received.length
    const wanted = answerToken(answerKey(sending.prompt), index)
    this.expect(Promised.OwnAnswerInOrder, sequence === index && text === wanted, () => `${sending.id}: token ${sequence} as number ${index}`)
  }

  finished (sending: Sending, end: StreamEnd): void {
    this.lastWord(sending)
    sending.isWhole = true
    const { received, tokens } = sending
    this.expect(Promised.AnswerWhole, received.length === tokens && end.completionTokens === tokens, () => `${sending.id}: ${received.length} of ${tokens}`)
  }

  failed (sending: Sending, failure: Failure): void {
    this.lastWord(sending)
    sending.failure = failure
  }

  private lastWord (sending: Sending): void {
    sending.lastWords += 1
    this.expect(Promised.OneLastWord, sending.lastWords === 1, () => `${sending.id}: ${sending.lastWords}`)
  }

  /** Asked now and then, and once more when all has come to rest. */
  checkDeadlines (now: number, isPaused: (entry: string) => boolean): void {
    for (const sending of this.sendings) {
      const isDue = sending.deadline + LAST_WORD_MS < now && !sending.isExcused && !isPaused(sending.entry)
      if (isDue) {
        this.expect(Promised.AnsweredByDeadline, sending.lastWords > 0, () => `${sending.id} through ${sending.entry}`)
      }
    }
  }

  /** A run that begins after "not run" was told counts as well, hence at the end. */
  checkNotRun (): void {
    for (const { id, failure } of this.sendings) {
      if (failure?.verdict === Verdict.NotRun) {
        const run = this.runs.find(other => other.requestId === id || other.requestId.startsWith(`${id}.`))
        this.expect(Promised.NotRunIsTrue, run === undefined, () => `${id} ran at ${run?.engine}, yet ${failure.message}`)
      }
    }
  }
}
