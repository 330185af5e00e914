/**
 * Members as instances describe them to each other.
 */
export enum MemberState {
  Alive = 0,
  /** Did not answer; dead at its deadline unless it answers. */
  Suspect = 1,
  Dead = 2,
  /** Said itself that it leaves. */
  Left = 3
}

/** What instances tell each other of a member. */
export interface MemberEntry {
  readonly name: string
  /** IP number and port for datagrams. */
  readonly address: string
  /** IP number and port for procedure calls between instances. */
  readonly controlAddress: string
  readonly failureDomain: string
  /** Start of the process, milliseconds of Unix time, raised by one to refute a false death. */
  readonly incarnation: number
  readonly state: MemberState
}

export interface Member extends MemberEntry {
  /** When a suspect is dead, or one that is gone is forgotten; milliseconds of Unix time. */
  readonly deadline: number
}

/** How far a member is with the configuration, as it says in each message. */
export interface ConfigurationPosition {
  readonly revision: number
  readonly offset: number
  /** First digits of the configuration's digest. */
  readonly digest: string
}

/** A member's own word, as it last arrived here. */
export interface Contact {
  /** Milliseconds of Unix time. */
  readonly heardAt: number
  /** A restart voids what was known. */
  readonly incarnation: number
  readonly position: ConfigurationPosition
}

export function isLive (member: MemberEntry): boolean {
  return member.state === MemberState.Alive
}

export function isGone (member: MemberEntry): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left
}

/** Whether the news overrides what is known: newer incarnation first, then the graver state. */
export function overrides (news: MemberEntry, known: MemberEntry): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation
  }
  return news.state > known.state
}

export function toEntry ({ name, address, controlAddress, failureDomain, incarnation, state }: MemberEntry): MemberEntry {
  return { name, address, controlAddress, failureDomain, incarnation, state }
}
