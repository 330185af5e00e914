/**
 * A simulated engine: it starts waiting prompts by priority, memory and slots, reads the
 * started ones in turn, and preempts the last started one when its memory runs out.
 */
import type { PromptKind } from './admissionShape.js'

export const TOKENS_PER_MS = 38.7
export const SLOTS = 32
export const MEMORY_TOKENS = 91_225

export interface EngineCall {
  readonly kind: PromptKind
  /** Place in the order of the waiting requests. */
  priority: number
  tokensLeft: number
  outputTokens: number
  /** Milliseconds of simulated time; Infinity before. */
  firstEventAt: number
}

export class AdmissionEngine<Call extends EngineCall> {
  private waiting: Call[] = []
  /** In the order in which they are read. */
  private started: Call[] = []
  preemptions = 0

  private constructor () {}

  static create<Call extends EngineCall> (): AdmissionEngine<Call> {
    return new AdmissionEngine<Call>()
  }

  get calls (): readonly Call[] {
    return [...this.waiting, ...this.started]
  }

  add (call: Call): void {
    this.waiting.push(call)
  }

  remove (call: Call): void {
    this.waiting = this.waiting.filter(other => other !== call)
    this.started = this.started.filter(other => other !== call)
  }

  /** Runs for a millisecond, and returns the calls that got their first event and those that have ended. */
  step (now: number): { readonly begun: readonly Call[], readonly ended: readonly Call[] } {
    this.startCalls()
    const begun = this.read(now)
    const running = this.started.filter(({ tokensLeft }) => tokensLeft === 0)
    running.forEach(call => { call.outputTokens += call.kind.outputTokens / call.kind.runMs })
    this.preempt()
    return { begun, ended: running.filter(({ outputTokens, kind }) => outputTokens >= kind.outputTokens) }
  }

  private read (now: number): Call[] {
    const begun: Call[] = []
    let left = TOKENS_PER_MS
    for (const call of this.started.filter(({ tokensLeft }) => tokensLeft > 0)) {
      const read = Math.min(left, call.tokensLeft)
      left -= read
      call.tokensLeft -= read
      if (call.tokensLeft === 0 && call.firstEventAt === Infinity) {
        call.firstEventAt = now
        begun.push(call)
      }
    }
    return begun
  }

  private startCalls (): void {
    this.waiting.sort((a, b) => a.priority - b.priority)
    let next = this.waiting[0]
    while (next && this.started.length < SLOTS && heldTokens(this.started) + heldTokens([next]) <= MEMORY_TOKENS) {
      this.waiting.shift()
      this.started.push(next)
      next = this.waiting[0]
    }
  }

  /** Generated tokens need memory too. A preempted request is read again. */
  private preempt (): void {
    while (heldTokens(this.started) > MEMORY_TOKENS) {
      const call = this.started.pop() as Call
      call.tokensLeft = call.kind.tokens
      this.waiting.unshift(call)
      this.preemptions += 1
    }
  }
}

function heldTokens (calls: readonly EngineCall[]): number {
  return calls.reduce((total, { kind, outputTokens }) => total + kind.tokens + outputTokens, 0)
}
