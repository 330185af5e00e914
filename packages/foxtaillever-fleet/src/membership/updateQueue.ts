/**
 * Member updates that are still to be sent. Each update is sent a number of
 * times that grows with the logarithm of the fleet's size, after which it has
 * reached every member with a probability close to one; members that missed it
 * get it when tables are compared.
 */
import { entryBytes } from './message.js'
import type { MemberEntry } from './member.js'

/** Number of sends of one update for each doubling of the fleet. */
const SENDS_PER_DOUBLING = 2

interface QueuedUpdate {
  readonly entry: MemberEntry
  sendsLeft: number
}

export class UpdateQueue {
  private readonly updates = new Map<string, QueuedUpdate>()

  private constructor () {}

  static create (): UpdateQueue {
    return new UpdateQueue()
  }

  add (entry: MemberEntry, memberCount: number): void {
    const sendsLeft = Math.ceil(SENDS_PER_DOUBLING * Math.log2(memberCount + 2))
    this.updates.delete(entry.name)
    this.updates.set(entry.name, { entry, sendsLeft })
  }

  isEmpty (): boolean {
    return this.updates.size === 0
  }

  size (): number {
    return this.updates.size
  }

  /** Takes entries for one message of at most so many bytes, those with the fewest sends first. */
  takeEntries (bytes: number): readonly MemberEntry[] {
    const fewestSendsFirst = [...this.updates.values()].sort((a, b) => b.sendsLeft - a.sendsLeft)
    const taken: MemberEntry[] = []
    let room = bytes
    for (const update of fewestSendsFirst) {
      room -= entryBytes(update.entry)
      if (room < 0) {
        break
      }
      taken.push(update.entry)
      this.recordSend(update)
    }
    return taken
  }

  private recordSend (update: QueuedUpdate): void {
    update.sendsLeft -= 1
    if (update.sendsLeft <= 0) {
      this.updates.delete(update.entry.name)
    }
  }
}
