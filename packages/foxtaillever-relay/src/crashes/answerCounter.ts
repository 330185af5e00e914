/** Counts how many requests of a service were answered within each of several spans before now. */
import { ANSWER_SPANS_MS, type AnswerCounts } from 'foxtaillever-policy/crashes/suspicion'

const [BUCKET_MS] = ANSWER_SPANS_MS
const BUCKETS = ANSWER_SPANS_MS[ANSWER_SPANS_MS.length - 1] as number / BUCKET_MS

export class AnswerCounter {
  private readonly buckets = new Uint32Array(BUCKETS)
  /** Number of the current bucket since the Unix epoch. */
  private current = 0

  private constructor () {}

  static create (): AnswerCounter {
    return new AnswerCounter()
  }

  count (now: number): void {
    this.advance(now)
    const index = this.current % BUCKETS
    this.buckets[index] = (this.buckets[index] ?? 0) + 1
  }

  recent (now: number): AnswerCounts {
    this.advance(now)
    return ANSWER_SPANS_MS.map(span => this.sum(span / BUCKET_MS))
  }

  private sum (buckets: number): number {
    let sum = 0
    for (let age = 0; age < buckets; age += 1) {
      sum += this.buckets[(this.current - age) % BUCKETS] ?? 0
    }
    return sum
  }

  private advance (now: number): void {
    const bucket = Math.floor(now / BUCKET_MS)
    for (let next = Math.max(this.current + 1, bucket - BUCKETS + 1); next <= bucket; next += 1) {
      this.buckets[next % BUCKETS] = 0
    }
    this.current = Math.max(this.current, bucket)
  }
}
