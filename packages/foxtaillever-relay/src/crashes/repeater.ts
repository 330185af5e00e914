/** Sends messages a few times, since datagrams may be lost. */
import type { Cancellation, Clock } from 'foxtaillever-core'

/** Where three in ten datagrams are lost, three in a hundred messages do not arrive. */
const SENDS = 3
const RESEND_MS = 50

export class Repeater {
  private readonly pending = new Set<Cancellation>()
  private isStopped = false

  private constructor (private readonly clock: Clock) {}

  static create (clock: Clock): Repeater {
    return new Repeater(clock)
  }

  /** Calls `send` now and again a moment later. */
  repeat (send: () => void, sends = SENDS): void {
    send()
    if (sends > 1 && !this.isStopped) {
      const cancel = this.clock.at(this.clock.now() + RESEND_MS, () => {
        this.pending.delete(cancel)
        this.repeat(send, sends - 1)
      })
      this.pending.add(cancel)
    }
  }

  stop (): void {
    this.isStopped = true
    this.pending.forEach(cancel => cancel())
  }
}
