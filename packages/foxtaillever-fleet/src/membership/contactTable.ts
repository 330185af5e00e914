/**
 * When each member was last heard and how far it then was with the
 * configuration. Kept apart from the members, because it changes with every
 * message while they seldom do.
 */
import type { ConfigurationPosition, Contact } from './member.js'

export class ContactTable {
  private readonly contacts = new Map<string, Contact>()
  private last = 0

  private constructor () {}

  static create (): ContactTable {
    return new ContactTable()
  }

  hear (name: string, incarnation: number, position: ConfigurationPosition, now: number): void {
    this.contacts.set(name, { heardAt: now, incarnation, position })
    this.last = now
  }

  get (name: string): Contact | undefined {
    return this.contacts.get(name)
  }

  /** When anyone was last heard, milliseconds of Unix time; 0 for never. */
  lastHeardAt (): number {
    return this.last
  }

  /** Drops contacts of names that are no longer known. */
  retain (isKnown: (name: string) => boolean): void {
    for (const name of this.contacts.keys()) {
      if (!isKnown(name)) {
        this.contacts.delete(name)
      }
    }
  }
}
