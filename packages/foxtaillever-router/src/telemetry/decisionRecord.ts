/**
 * Decisions on the latest requests, for `explain`. The numbers of requests, of
 * decisions per request and of candidates per decision are limited. A new request
 * replaces the oldest one.
 */
import type { Job } from 'foxtaillever-policy'
import type { Decision, Explanation } from 'foxtaillever-control'

/** Maximum requests: five minutes at 14.5 requests a second, the rate expected in two years. */
export const MAX_REQUESTS = 4096

/** Maximum decisions per request; one that is retried a few times needs fewer. */
const MAX_DECISIONS = 24

/** Cheapest candidates kept per decision; with hundreds of servers the others are far more expensive. */
const MAX_CANDIDATES = 8

interface Entry {
  readonly job: Pick<Job, 'id' | 'account' | 'model' | 'arrivedAt' | 'deadline'>
  readonly decisions: Decision[]
  leftOut: number
}

export class DecisionRecord {
  private readonly entries = new Map<string, Entry>()

  private constructor (private readonly instance: string, private readonly capacity: number) {}

  static create (instance: string, capacity = MAX_REQUESTS): DecisionRecord {
    return new DecisionRecord(instance, capacity)
  }

  size (): number {
    return this.entries.size
  }

  addRequest ({ id, account, model, arrivedAt, deadline }: Job): void {
    const oldest = this.entries.keys().next()
    if (this.entries.size >= this.capacity && oldest.done !== true) {
      this.entries.delete(oldest.value)
    }
    this.entries.set(id, { job: { id, account, model, arrivedAt, deadline }, decisions: [], leftOut: 0 })
  }

  addDecision (requestId: string, decision: Decision): void {
    const entry = this.entries.get(requestId)
    if (!entry) {
      return
    }
    if (entry.decisions.length >= MAX_DECISIONS) {
      entry.leftOut += 1
      return
    }
    entry.decisions.push({ ...decision, candidates: decision.candidates.slice(0, MAX_CANDIDATES) })
  }

  /** Finds a request by its own id, or by the id that its caller gave, with which its own id begins. */
  find (requestId: string): Explanation | undefined {
    const entry = this.entries.get(requestId) ?? this.findLatest(`${requestId}.`)
    if (!entry) {
      return undefined
    }
    const { job: { id, ...job }, decisions, leftOut } = entry
    return { requestId: id, instance: this.instance, ...job, decisions: [...decisions], leftOut }
  }

  private findLatest (start: string): Entry | undefined {
    return [...this.entries.values()].reverse().find(({ job }) => job.id.startsWith(start))
  }
}
