/**
 * This instance as a member. Only the instance itself may raise its incarnation
 * or announce that it leaves.
 */
import { MemberState, type MemberEntry } from './member.js'

export type SelfDescription = Pick<MemberEntry, 'name' | 'address' | 'controlAddress' | 'failureDomain'>

export class Self {
  private sequence = 0
  private superseded = false

  private constructor (private current: MemberEntry) {}

  /** @param startedAt milliseconds of Unix time; used as the incarnation. */
  static create (description: SelfDescription, startedAt: number): Self {
    return new Self({ ...description, incarnation: Math.floor(startedAt), state: MemberState.Alive })
  }

  entry (): MemberEntry {
    return this.current
  }

  /** Sequence number of the next message. */
  nextSequence (): number {
    this.sequence += 1
    return this.sequence
  }

  /** Whether a later process has this instance's name. */
  isSuperseded (): boolean {
    return this.superseded
  }

  /** Sets addresses that the operating system chose; the raised incarnation replaces the earlier entry. */
  setAddresses (addresses: Pick<SelfDescription, 'address' | 'controlAddress'>): void {
    this.current = { ...this.current, ...addresses, incarnation: this.current.incarnation + 1 }
  }

  leave (): void {
    this.current = { ...this.current, state: MemberState.Left }
  }

  /**
   * Handles an entry of others about this instance. If it is reported suspect or
   * dead, it raises its incarnation, which replaces the false entry everywhere.
   * A later incarnation than its own means that another process has its name.
   * @returns whether the own entry changed and must be announced.
   */
  refute (entry: MemberEntry): boolean {
    if (entry.incarnation > this.current.incarnation && entry.state === MemberState.Alive) {
      this.superseded = true
      return false
    }
    if (this.superseded || this.current.state === MemberState.Left) {
      return false
    }
    if (entry.state === MemberState.Alive || entry.incarnation < this.current.incarnation) {
      return false
    }
    this.current = { ...this.current, incarnation: entry.incarnation + 1 }
    return true
  }
}
