/** Instances that leave questions unanswered; they are passed over for a while. */
import type { Clock } from 'foxtaillever-core'

/** An instance that left so many questions in a row unanswered is passed over. */
const MOST_UNANSWERED = 2

/** For so long, milliseconds, as a process takes to restart; then one question finds out whether it is back. */
const PASSED_OVER_MS = 3000

interface Silence {
  readonly unanswered: number
  readonly until: number
}

export interface PassedOverOptions {
  readonly clock: Clock
  /** An instance did not answer several questions in a row. */
  readonly onPassedOver: (address: string) => void
}

export class PassedOver {
  private readonly silences = new Map<string, Silence>()

  private constructor (private readonly options: PassedOverOptions) {}

  static create (options: PassedOverOptions): PassedOver {
    return new PassedOver(options)
  }

  has (address: string): boolean {
    const { unanswered, until } = this.silences.get(address) ?? { unanswered: 0, until: 0 }
    return unanswered >= MOST_UNANSWERED && this.options.clock.now() < until
  }

  /** It answered. */
  hear (address: string): void {
    this.silences.delete(address)
  }

  /** It did not answer a question. */
  miss (address: string): void {
    const { clock, onPassedOver } = this.options
    const unanswered = (this.silences.get(address)?.unanswered ?? 0) + 1
    this.silences.set(address, { unanswered, until: clock.now() + PASSED_OVER_MS })
    if (unanswered === MOST_UNANSWERED) {
      onPassedOver(address)
    }
  }
}
