/**
 * This instance as a member: the only one that may raise its incarnation or
 * say that it leaves.
 */
import { MemberState, type MemberEntry } from './member.js'

export type SelfDescription = Pick<MemberEntry, 'name' | 'address' | 'controlAddress' | 'failureDomain'>

export class Self {
  private sequence = 0
  private replaced = false

  private constructor (private current: MemberEntry) {}

  /** @param startedAt milliseconds of Unix time; the incarnation. */
  static create (description: SelfDescription, startedAt: number): Self {
    return new Self({ ...description, incarnation: Math.floor(startedAt), state: MemberState.Alive })
  }

  entry (): MemberEntry {
    return this.current
  }

  /** Number of the next message. */
  nextSequence (): number {
    this.sequence += 1
    return this.sequence
  }

  /** Whether a later process has taken this one's name. */
  isSuperseded (): boolean {
    return this.replaced
  }

  /** Addresses that the system chose; the raised incarnation overrides what was said before. */
  setAddresses (addresses: Pick<SelfDescription, 'address' | 'controlAddress'>): void {
    this.current = { ...this.current, ...addresses, incarnation: this.current.incarnation + 1 }
  }

  leave (): void {
    this.current = { ...this.current, state: MemberState.Left }
  }

  /**
   * Answers what others say of this instance. Called dead or suspect, it raises
   * its incarnation, which overrides the false word everywhere. A word of a
   * later incarnation than its own means that another process bears its name.
   * @returns whether the entry changed and has to be told.
   */
  answer (entry: MemberEntry): boolean {
    if (entry.incarnation > this.current.incarnation && entry.state === MemberState.Alive) {
      this.replaced = true
      return false
    }
    if (this.replaced || this.current.state === MemberState.Left) {
      return false
    }
    if (entry.state === MemberState.Alive || entry.incarnation < this.current.incarnation) {
      return false
    }
    this.current = { ...this.current, incarnation: entry.incarnation + 1 }
    return true
  }
}
