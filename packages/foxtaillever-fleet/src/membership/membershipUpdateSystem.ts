/**
 * Sends member updates to some other members each tick, and announces a leave.
 */
import type { Membership } from './membership.js'
import { MessageKind } from './message.js'

/** Members that get updates each tick while any are queued; with probes this bounds what a tick sends. */
const FAN_OUT = 2

/** Members that are notified of a leave before the process ends; they notify the rest. */
const LEAVE_FAN_OUT = 16

export class MembershipUpdateSystem {
  private constructor (private readonly membership: Membership) {}

  static create (membership: Membership): MembershipUpdateSystem {
    return new MembershipUpdateSystem(membership)
  }

  /** Run each tick. */
  tick (): void {
    if (!this.membership.updates.isEmpty()) {
      this.sendUpdates(FAN_OUT)
    }
  }

  /** Sends a message to a few members at once after a new configuration; every message states the revision. */
  announceRevision (): void {
    const { membership } = this
    for (const target of membership.pickRandom(membership.others(), FAN_OUT)) {
      membership.messenger.send(target.address, { kind: MessageKind.MemberUpdates })
    }
  }

  announceLeave (): void {
    this.membership.self.leave()
    this.membership.announce()
    this.sendUpdates(LEAVE_FAN_OUT)
  }

  private sendUpdates (count: number): void {
    const { membership } = this
    for (const target of membership.pickRandom(membership.others(), count)) {
      membership.messenger.send(target.address, { kind: MessageKind.MemberUpdates, entries: membership.entriesFor(target.name) })
    }
  }
}
