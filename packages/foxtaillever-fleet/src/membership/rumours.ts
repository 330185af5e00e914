/**
 * News of members that is still to be told. Each piece of news is sent a number
 * of times that grows with the logarithm of the fleet, by which it has reached
 * everyone with a probability close to one; what is missed is made good by
 * comparing tables.
 */
import { entryBytes } from './message.js'
import type { MemberEntry } from './member.js'

/** Sends of one piece of news for each doubling of the fleet. */
const SENDS_PER_DOUBLING = 2

interface Rumour {
  readonly entry: MemberEntry
  sendsLeft: number
}

export class Rumours {
  private readonly rumours = new Map<string, Rumour>()

  private constructor () {}

  static create (): Rumours {
    return new Rumours()
  }

  /** @param fleet number of members. */
  add (entry: MemberEntry, fleet: number): void {
    const sendsLeft = Math.ceil(SENDS_PER_DOUBLING * Math.log2(fleet + 2))
    this.rumours.delete(entry.name)
    this.rumours.set(entry.name, { entry, sendsLeft })
  }

  isEmpty (): boolean {
    return this.rumours.size === 0
  }

  size (): number {
    return this.rumours.size
  }

  /** Entries for one message of at most so many bytes, the least told first. */
  take (bytes: number): readonly MemberEntry[] {
    const byNeed = [...this.rumours.values()].sort((a, b) => b.sendsLeft - a.sendsLeft)
    const taken: MemberEntry[] = []
    let room = bytes
    for (const rumour of byNeed) {
      room -= entryBytes(rumour.entry)
      if (room < 0) {
        break
      }
      taken.push(rumour.entry)
      this.tell(rumour)
    }
    return taken
  }

  private tell (rumour: Rumour): void {
    rumour.sendsLeft -= 1
    if (rumour.sendsLeft <= 0) {
      this.rumours.delete(rumour.entry.name)
    }
  }
}
