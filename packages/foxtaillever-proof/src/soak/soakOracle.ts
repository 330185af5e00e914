/** The soak's oracle: compares the runs that engines reported with the answers that callers got, and counts checks and violations by promise. */
import { Verdict } from 'foxtaillever-core'
import type { EngineRun } from '../world/engineHost.js'

export enum SoakPromise {
  OwnTokensInOrder = 'own tokens, in order',
  AnswerWhole = 'answers that end are whole',
  NotRunIsTrue = 'not run is true',
  AtMostOnce = 'non-idempotent at most once',
  AnsweredInTime = 'a last word in time',
  GracefulStop = 'a graceful stop cuts nothing',
  ProgramInvariants = 'invariants inside the program'
}

export interface PromiseCount {
  checked: number
  violated: number
  /** Some of the violations, until they are reported. */
  readonly details: string[]
}

const MAX_DETAILS = 5

export class SoakOracle {
  readonly counts = new Map<SoakPromise, PromiseCount>()
  private readonly engineByRequest = new Map<string, string>()
  private readonly runsByKey = new Map<string, string[]>()
  private readonly notRunIds: string[] = []
  /** Number of attempts by outcome. */
  readonly outcomes = new Map<string, number>()

  static create (): SoakOracle {
    return new SoakOracle()
  }

  private constructor () {
    Object.values(SoakPromise).forEach(promise => this.counts.set(promise, { checked: 0, violated: 0, details: [] }))
  }

  expect (promise: SoakPromise, holds: boolean, detail: () => string): void {
    this.addCounts(promise, 1, holds ? 0 : 1, detail)
  }

  addCounts (promise: SoakPromise, checked: number, violated: number, detail: () => string): void {
    const count = this.counts.get(promise)
    if (!count) {
      return
    }
    count.checked += checked
    count.violated += violated
    if (violated > 0 && count.details.length < MAX_DETAILS) {
      count.details.push(detail())
    }
  }

  recordRun ({ engine, requestId, account, idempotencyKey }: EngineRun): void {
    // Later attempts of one request have its id followed by a number.
    this.engineByRequest.set(requestId, engine)
    if (idempotencyKey !== '') {
      const key = `${account} ${idempotencyKey}`
      this.runsByKey.set(key, [...this.runsByKey.get(key) ?? [], `${requestId} at ${engine}`])
    }
  }

  recordVerdict (requestId: string, verdict: string): void {
    if (verdict === Verdict.NotRun) {
      this.notRunIds.push(requestId)
    }
  }

  recordOutcome (name: string): void {
    this.outcomes.set(name, (this.outcomes.get(name) ?? 0) + 1)
  }

  /** Called at the end, when no request can run any more. */
  checkRuns (): void {
    for (const [key, runs] of this.runsByKey) {
      this.expect(SoakPromise.AtMostOnce, runs.length === 1, () => `${key}: ${runs.join(', ')}`)
    }
    const attemptIds = [...this.engineByRequest.keys()]
    for (const id of this.notRunIds) {
      const run = this.engineByRequest.has(id) ? id : attemptIds.find(attemptId => attemptId.startsWith(`${id}.`))
      this.expect(SoakPromise.NotRunIsTrue, run === undefined, () => `${id} ran as ${run}`)
    }
  }
}
