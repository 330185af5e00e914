/**
 * When the last message of each member was received, and which configuration
 * the member had then. Kept apart from the member table, because it changes with
 * every message while members seldom change.
 */
import type { ConfigurationPosition, Contact } from './member.js'

export class ContactTable {
  private readonly contacts = new Map<string, Contact>()
  private lastReceived = 0

  private constructor () {}

  static create (): ContactTable {
    return new ContactTable()
  }

  recordContact (name: string, incarnation: number, position: ConfigurationPosition, now: number): void {
    this.contacts.set(name, { receivedAt: now, incarnation, position })
    this.lastReceived = now
  }

  get (name: string): Contact | undefined {
    return this.contacts.get(name)
  }

  /** When the last message of any member was received, milliseconds of Unix time; 0 for never. */
  lastReceivedAt (): number {
    return this.lastReceived
  }

  /** Removes contacts of members that are no longer known. */
  retain (isKnown: (name: string) => boolean): void {
    for (const name of this.contacts.keys()) {
      if (!isKnown(name)) {
        this.contacts.delete(name)
      }
    }
  }
}
