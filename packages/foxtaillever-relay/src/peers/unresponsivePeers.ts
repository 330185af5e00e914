/** Tracks instances that do not answer requests, so that they are skipped for a while. */
import type { Clock } from 'foxtaillever-core'

/** An instance that left this many requests in a row unanswered is skipped. */
const MAX_UNANSWERED = 2

/** Milliseconds for which an instance is skipped: the time a process takes to restart. Then one request checks whether it answers again. */
const SKIP_MS = 3000

interface UnansweredRequests {
  readonly unanswered: number
  readonly until: number
}

export interface UnresponsivePeersOptions {
  readonly clock: Clock
  /** Called when an instance did not answer several requests in a row. */
  readonly onUnresponsive: (address: string) => void
}

export class UnresponsivePeers {
  private readonly unansweredByAddress = new Map<string, UnansweredRequests>()

  private constructor (private readonly options: UnresponsivePeersOptions) {}

  static create (options: UnresponsivePeersOptions): UnresponsivePeers {
    return new UnresponsivePeers(options)
  }

  has (address: string): boolean {
    const { unanswered, until } = this.unansweredByAddress.get(address) ?? { unanswered: 0, until: 0 }
    return unanswered >= MAX_UNANSWERED && this.options.clock.now() < until
  }

  /** Records that the instance answered. */
  recordAnswer (address: string): void {
    this.unansweredByAddress.delete(address)
  }

  /** Records that the instance did not answer a request in time. */
  recordTimeout (address: string): void {
    const { clock, onUnresponsive } = this.options
    const unanswered = (this.unansweredByAddress.get(address)?.unanswered ?? 0) + 1
    this.unansweredByAddress.set(address, { unanswered, until: clock.now() + SKIP_MS })
    if (unanswered === MAX_UNANSWERED) {
      onUnresponsive(address)
    }
  }
}
