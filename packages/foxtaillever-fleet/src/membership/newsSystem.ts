/**
 * Tells news of members to some others each tick, and says goodbye.
 */
import type { Membership } from './membership.js'
import { MessageKind } from './message.js'

/** Members told each tick while there is news; with probes this bounds what a tick sends. */
const FAN_OUT = 2

/** Members told of a leave before the process ends; they tell the rest. */
const GOODBYE_FAN_OUT = 16

export class NewsSystem {
  private constructor (private readonly membership: Membership) {}

  static create (membership: Membership): NewsSystem {
    return new NewsSystem(membership)
  }

  /** Run each tick. */
  tick (): void {
    if (!this.membership.rumours.isEmpty()) {
      this.tell(FAN_OUT)
    }
  }

  /** Tells a few at once that this instance has a new revision, which every message names. */
  tellRevision (): void {
    const { membership } = this
    for (const target of membership.pick(membership.others(), FAN_OUT)) {
      membership.messenger.send(target.address, { kind: MessageKind.News })
    }
  }

  sayGoodbye (): void {
    this.membership.self.leave()
    this.membership.announce()
    this.tell(GOODBYE_FAN_OUT)
  }

  private tell (count: number): void {
    const { membership } = this
    for (const target of membership.pick(membership.others(), count)) {
      membership.messenger.send(target.address, { kind: MessageKind.News, entries: membership.newsFor(target.name) })
    }
  }
}
