/**
 * What was decided for the latest requests, for `explain`. Bounded three ways:
 * requests, decisions of each, and candidates of each decision. The oldest
 * request makes room for a new one.
 */
import type { Job } from 'foxtaillever-policy'
import type { Decision, Explanation } from 'foxtaillever-control'

/** Requests kept: five minutes at the 14.5 requests a second of the two-year size. */
export const KEPT_REQUESTS = 4096

/** A request refused, sent, retried and answered needs fewer. */
const KEPT_DECISIONS = 24

/** Cheapest candidates kept of each decision; with hundreds of servers the rest are far off. */
const KEPT_CANDIDATES = 8

interface Entry {
  readonly job: Pick<Job, 'id' | 'account' | 'model' | 'arrivedAt' | 'deadline'>
  readonly decisions: Decision[]
  leftOut: number
}

export class DecisionRecord {
  private readonly entries = new Map<string, Entry>()

  private constructor (private readonly instance: string, private readonly capacity: number) {}

  static create (instance: string, capacity = KEPT_REQUESTS): DecisionRecord {
    return new DecisionRecord(instance, capacity)
  }

  size (): number {
    return this.entries.size
  }

  open ({ id, account, model, arrivedAt, deadline }: Job): void {
    const oldest = this.entries.keys().next()
    if (this.entries.size >= this.capacity && oldest.done !== true) {
      this.entries.delete(oldest.value)
    }
    this.entries.set(id, { job: { id, account, model, arrivedAt, deadline }, decisions: [], leftOut: 0 })
  }

  add (requestId: string, decision: Decision): void {
    const entry = this.entries.get(requestId)
    if (!entry) {
      return
    }
    if (entry.decisions.length >= KEPT_DECISIONS) {
      entry.leftOut += 1
      return
    }
    entry.decisions.push({ ...decision, candidates: decision.candidates.slice(0, KEPT_CANDIDATES) })
  }

  /** By the request's own id, or by the id that its caller gave, which ours begins with. */
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
