/**
 * The table of members of one instance. Suspects and members that are gone
 * carry the deadline at which they change; nothing here sends anything.
 */
import { hashNumber } from 'foxtaillever-core'
import { isGone, isLive, MemberState, overrides, toEntry, type Member, type MemberEntry } from './member.js'

/** How long a suspect may take to answer, milliseconds: several ticks, so that one pause of a garbage collector kills nobody. */
export const SUSPICION_MS = 3000

/** How long the gone are remembered, milliseconds: longer than any old word of them travels. */
export const REMEMBERED_MS = 600_000

const lifetimes: Record<MemberState, number> = {
  [MemberState.Alive]: Infinity,
  [MemberState.Suspect]: SUSPICION_MS,
  [MemberState.Dead]: REMEMBERED_MS,
  [MemberState.Left]: REMEMBERED_MS
}

/** What follows from who lives, kept until that changes. */
interface Living {
  readonly members: readonly Member[]
  readonly digest: number
}

function createLiving (members: Iterable<Member>): Living {
  const living = [...members].filter(isLive).sort((a, b) => a.name < b.name ? -1 : 1)
  const digest = living.reduce((hash, { name, incarnation }) => hash ^ hashNumber(`${name}/${incarnation}`), 0) >>> 0
  return { members: living, digest }
}

export class MemberTable {
  private readonly members = new Map<string, Member>()
  private living: Living | undefined
  private changes = 0

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

  /** Members that are alive, in order of name, so that all instances compute alike. */
  alive (): readonly Member[] {
    return this.currentLiving().members
  }

  /** A hash of who lives; equal tables have equal ones. */
  digest (): number {
    return this.currentLiving().digest
  }

  /** Rises with each change; what is computed from members is kept for one version. */
  version (): number {
    return this.changes
  }

  /** Takes in news; says whether it was any. */
  merge (entry: MemberEntry, now: number): boolean {
    const known = this.members.get(entry.name)
    if (known !== undefined && !overrides(entry, known)) {
      return false
    }
    if (known === undefined && isGone(entry)) {
      return false
    }
    this.put(entry, now)
    return true
  }

  /** Puts this instance's own entry in, which only it may change at will. */
  replace (entry: MemberEntry, now: number): void {
    this.put(entry, now)
  }

  /** Suspects whose deadline has passed are dead; the gone are forgotten. Returns the news. */
  expire (now: number): readonly MemberEntry[] {
    const overdue = [...this.members.values()].filter(member => member.deadline <= now)
    overdue.filter(isGone).forEach(member => this.members.delete(member.name))
    const dead = overdue
      .filter(member => !isGone(member))
      .map(member => ({ ...toEntry(member), state: MemberState.Dead }))
    dead.forEach(entry => this.put(entry, now))
    return dead
  }

  /** Gives suspects their time anew; for an instance that was itself paused. */
  postponeSuspicions (now: number): void {
    for (const member of this.members.values()) {
      if (member.state === MemberState.Suspect) {
        this.put(member, now)
      }
    }
  }

  private put (entry: MemberEntry, now: number): void {
    this.members.set(entry.name, { ...toEntry(entry), deadline: now + lifetimes[entry.state] })
    this.living = undefined
    this.changes += 1
  }

  private currentLiving (): Living {
    this.living ??= createLiving(this.members.values())
    return this.living
  }
}
