/** The soak's oracle: what engines told, what callers got, counted by promise. */
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
  /** Some of the violations, until they are told. */
  readonly details: string[]
}

const DETAILS = 5

export class SoakOracle {
  readonly counts = new Map<SoakPromise, PromiseCount>()
  private readonly runs = new Map<string, string>()
  private readonly runsByKey = new Map<string, string[]>()
  private readonly notRun: string[] = []
  /** How callers fared, by outcome. */
  readonly outcomes = new Map<string, number>()

  static create (): SoakOracle {
    return new SoakOracle()
  }

  private constructor () {
    Object.values(SoakPromise).forEach(promise => this.counts.set(promise, { checked: 0, violated: 0, details: [] }))
  }

  expect (promise: SoakPromise, holds: boolean, detail: () => string): void {
    this.add(promise, 1, holds ? 0 : 1, detail)
  }

  add (promise: SoakPromise, checked: number, violated: number, detail: () => string): void {
    const count = this.counts.get(promise)
    if (!count) {
      return
    }
    count.checked += checked
    count.violated += violated
    if (violated > 0 && count.details.length < DETAILS) {
      count.details.push(detail())
    }
  }

  ran ({ engine, requestId, account, idempotencyKey }: EngineRun): void {
    // Later tries of one request bear a number after its id.
    this.runs.set(requestId, engine)
    if (idempotencyKey !== '') {
      const key = `${account} ${idempotencyKey}`
      this.runsByKey.set(key, [...this.runsByKey.get(key) ?? [], `${requestId} at ${engine}`])
    }
  }

  told (requestId: string, verdict: string): void {
    if (verdict === Verdict.NotRun) {
      this.notRun.push(requestId)
    }
  }

  outcome (name: string): void {
    this.outcomes.set(name, (this.outcomes.get(name) ?? 0) + 1)
  }

  /** Asked at the end, when nothing can run any more. */
  finish (): void {
    for (const [key, runs] of this.runsByKey) {
      this.expect(SoakPromise.AtMostOnce, runs.length === 1, () => `${key}: ${runs.join(', ')}`)
    }
    const tries = [...this.runs.keys()]
    for (const id of this.notRun) {
      const run = this.runs.has(id) ? id : tries.find(other => other.startsWith(`${id}.`))
      this.expect(SoakPromise.NotRunIsTrue, run === undefined, () => `${id} ran as ${run}`)
    }
  }
}
