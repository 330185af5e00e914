/**
 * The member table of one instance. Suspect and gone members have a deadline at
 * which their state changes or they are removed; nothing here sends messages.
 */
import { hashNumber } from 'foxtaillever-core'
import { isGone, isLive, MemberState, overrides, toEntry, type Member, type MemberEntry } from './member.js'

/** How long a suspect may take to answer, milliseconds: several ticks, so that no member counts as dead for one pause of its garbage collector. */
export const SUSPICION_TIMEOUT_MS = 3000

/** How long gone members are kept, milliseconds: longer than any old update about them may still arrive. */
export const GONE_RETENTION_MS = 600_000

const lifetimes: Record<MemberState, number> = {
  [MemberState.Alive]: Infinity,
  [MemberState.Suspect]: SUSPICION_TIMEOUT_MS,
  [MemberState.Dead]: GONE_RETENTION_MS,
  [MemberState.Left]: GONE_RETENTION_MS
}

/** Members that are alive and their digest, cached until the table changes. */
interface LiveMembers {
  readonly members: readonly Member[]
  readonly digest: number
}

function createLiveMembers (members: Iterable<Member>): LiveMembers {
  const live = [...members].filter(isLive).sort((a, b) => a.name < b.name ? -1 : 1)
  const digest = live.reduce((hash, { name, incarnation }) => hash ^ hashNumber(`${name}/${incarnation}`), 0) >>> 0
  return { members: live, digest }
}

export class MemberTable {
  private readonly members = new Map<string, Member>()
  private live: LiveMembers | undefined
  private changeCount = 0

  private constructor () {}

  static create (): MemberTable {
    return new MemberTable()
  }

  get (name: string): Member | undefined {
    return this.members.get(name)
  }

  all (): readonly Member[] {
    return [...this.members.values()]
  }

  /** Members that are alive, in order of name, so that all instances compute the same results. */
  alive (): readonly Member[] {
    return this.liveMembers().members
  }

  /** Hash of the members that are alive; equal tables have equal hashes. */
  digest (): number {
    return this.liveMembers().digest
  }

  /** Rises with each change; results computed from members may be cached for one version. */
  version (): number {
    return this.changeCount
  }

  /** Applies an update; returns whether it changed the table. */
  merge (entry: MemberEntry, now: number): boolean {
    const known = this.members.get(entry.name)
    if (known !== undefined && !overrides(entry, known)) {
      return false
    }
    if (known === undefined && isGone(entry)) {
      return false
    }
    this.setMember(entry, now)
    return true
  }

  /** Replaces this instance's own entry, which only this instance may change without a higher incarnation or state. */
  replaceOwnEntry (entry: MemberEntry, now: number): void {
    this.setMember(entry, now)
  }

  /** Marks suspects past their deadline as dead and removes gone members. Returns the entries of the new dead. */
  expire (now: number): readonly MemberEntry[] {
    const overdue = [...this.members.values()].filter(member => member.deadline <= now)
    overdue.filter(isGone).forEach(member => this.members.delete(member.name))
    const dead = overdue
      .filter(member => !isGone(member))
      .map(member => ({ ...toEntry(member), state: MemberState.Dead }))
    dead.forEach(entry => this.setMember(entry, now))
    return dead
  }

  /** Restarts the timeout of all suspects; called when this instance was itself paused. */
  restartSuspicions (now: number): void {
    for (const member of this.members.values()) {
      if (member.state === MemberState.Suspect) {
        this.setMember(member, now)
      }
    }
  }

  private setMember (entry: MemberEntry, now: number): void {
    this.members.set(entry.name, { ...toEntry(entry), deadline: now + lifetimes[entry.state] })
    this.live = undefined
    this.changeCount += 1
  }

  private liveMembers (): LiveMembers {
    this.live ??= createLiveMembers(this.members.values())
    return this.live
  }
}
