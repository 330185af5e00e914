/**
 * Refuses replayed messages. Without it an attacker could send a recorded
 * message again to bring back a member that has left, or to keep a dead one
 * alive. Each sender numbers its messages within its incarnation; a message is
 * refused if its number is not above the last one or its incarnation is older.
 */

/** Maximum difference between the send time and this instance's clock, milliseconds; covers clock differences and delivery. */
const MAX_CLOCK_DIFFERENCE_MS = 60_000

/** What identifies one message. */
export interface MessageOrigin {
  readonly sender: string
  /** When the sender started, milliseconds of Unix time; raised to refute a false report of its death. */
  readonly incarnation: number
  readonly sequence: number
  /** Sender's clock, milliseconds of Unix time. */
  readonly sentAt: number
}

export enum Admission {
  New = 'new',
  Repeated = 'repeated',
  /** Too old, or the sender's clock is too far off. */
  Stale = 'stale',
  /** From a process that a later one with the same name has replaced. */
  Superseded = 'superseded'
}

interface LastMessage {
  readonly incarnation: number
  readonly sequence: number
  /** When this entry may be removed: from then on the message is refused by its age. */
  readonly deadline: number
}

export class ReplayGuard {
  private readonly lastMessages = new Map<string, LastMessage>()

  private constructor () {}

  static create (): ReplayGuard {
    return new ReplayGuard()
  }

  /** Checks whether the message is new, and records it if so. */
  admit (origin: MessageOrigin, now: number): Admission {
    // Negated, so that a value that is not a number is refused too.
    if (!(Math.abs(now - origin.sentAt) <= MAX_CLOCK_DIFFERENCE_MS)) {
      return Admission.Stale
    }
    const last = this.lastMessages.get(origin.sender)
    if (last !== undefined && !(origin.incarnation >= last.incarnation)) {
      return Admission.Superseded
    }
    if (last !== undefined && origin.incarnation === last.incarnation && !(origin.sequence > last.sequence)) {
      return Admission.Repeated
    }
    const { incarnation, sequence } = origin
    this.lastMessages.set(origin.sender, { incarnation, sequence, deadline: now + 2 * MAX_CLOCK_DIFFERENCE_MS })
    return Admission.New
  }

  /** Removes senders whose recorded messages are refused by their age anyway; run each tick. */
  expire (now: number): void {
    for (const [sender, last] of this.lastMessages) {
      if (last.deadline < now) {
        this.lastMessages.delete(sender)
      }
    }
  }
}
