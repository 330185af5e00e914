/**
 * Refuses messages that were seen before. Without it a recorded message could
 * be sent again to bring back a member that has left, or to keep a dead one
 * alive. Each sender numbers its messages within its incarnation; a number that
 * is not above the last one is refused, and so is an older incarnation.
 */

/** How far clocks of instances may differ, and how long a message may travel, milliseconds. */
const FRESHNESS_MS = 60_000

/** What identifies one message. */
export interface MessageOrigin {
  readonly sender: string
  /** Milliseconds of Unix time at which the sender started; raised to refute its own death. */
  readonly incarnation: number
  readonly sequence: number
  /** Sender's clock, milliseconds of Unix time. */
  readonly sentAt: number
}

export enum Admission {
  New = 'new',
  Repeated = 'repeated',
  /** Too old, or from a clock that is far off. */
  Stale = 'stale',
  /** From a process whose name a later one bears. */
  Superseded = 'superseded'
}

interface LastMessage {
  readonly incarnation: number
  readonly sequence: number
  /** When this entry may be dropped: by then the message is too old to pass. */
  readonly deadline: number
}

export class ReplayGuard {
  private readonly last = new Map<string, LastMessage>()

  private constructor () {}

  static create (): ReplayGuard {
    return new ReplayGuard()
  }

  /** Whether the message is new; if so it is remembered. */
  admit (origin: MessageOrigin, now: number): Admission {
    // Written so that a value that is no number is refused too.
    if (!(Math.abs(now - origin.sentAt) <= FRESHNESS_MS)) {
      return Admission.Stale
    }
    const last = this.last.get(origin.sender)
    if (last !== undefined && !(origin.incarnation >= last.incarnation)) {
      return Admission.Superseded
    }
    if (last !== undefined && origin.incarnation === last.incarnation && !(origin.sequence > last.sequence)) {
      return Admission.Repeated
    }
    const { incarnation, sequence } = origin
    this.last.set(origin.sender, { incarnation, sequence, deadline: now + 2 * FRESHNESS_MS })
    return Admission.New
  }

  /** Drops senders whose recorded messages are refused by age anyway; run each tick. */
  expire (now: number): void {
    for (const [sender, last] of this.last) {
      if (last.deadline < now) {
        this.last.delete(sender)
      }
    }
  }
}
