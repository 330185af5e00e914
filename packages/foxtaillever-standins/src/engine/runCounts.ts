/** Counts the runs of each request, so that a test oracle can detect a request that ran twice. */
export class RunCounts {
  readonly byRequest = new Map<string, number>()
  readonly byIdempotencyKey = new Map<string, number>()

  private constructor () {}

  static create (): RunCounts {
    return new RunCounts()
  }

  add (requestId: string, idempotencyKey: string | undefined): void {
    count(this.byRequest, requestId)
    count(this.byIdempotencyKey, idempotencyKey ?? '')
  }
}

function count (counts: Map<string, number>, key: string): void {
  if (key !== '') {
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
}
