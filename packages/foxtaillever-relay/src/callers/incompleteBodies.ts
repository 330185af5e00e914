/**
 * Bodies that are being read. When the memory has no room for a further one, the body that has received the least for its
 * age makes room: clients that announce large bodies and send little must not keep others out.
 */
import type { Clock } from 'foxtaillever-core'

/** Bodies of this age make room, milliseconds: one that is sent without a pause is often complete by then. */
const MIN_AGE_MS = 1000

export interface IncompleteBody {
  readonly receivedBytes: () => number
  readonly reservedBytes: () => number
  /** Refuses the request, and returns what its body holds. */
  readonly abandon: () => void
}

export class IncompleteBodies {
  /** When each began, milliseconds of Unix time. */
  private readonly beganAt = new Map<IncompleteBody, number>()

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): IncompleteBodies {
    return new IncompleteBodies(clock)
  }

  add (body: IncompleteBody): void {
    this.beganAt.set(body, this.clock.now())
  }

  delete (body: IncompleteBody): void {
    this.beganAt.delete(body)
  }

  /** Abandons the body that has received the smallest part of what it holds for each second; returns whether there is one. */
  abandonSlowest (): boolean {
    const now = this.clock.now()
    let slowest: IncompleteBody | undefined
    let slowestRate = Infinity
    for (const [body, beganAt] of this.beganAt) {
      const rate = body.receivedBytes() / Math.max(1, body.reservedBytes()) / (now - beganAt)
      if (now >= beganAt + MIN_AGE_MS && rate < slowestRate) {
        slowest = body
        slowestRate = rate
      }
    }
    slowest?.abandon()
    return slowest !== undefined
  }
}
