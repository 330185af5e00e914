/**
 * Members, and the entries by which instances describe them to each other.
 */
export enum MemberState {
  Alive = 0,
  /** Did not answer a probe; becomes dead at its deadline unless it answers. */
  Suspect = 1,
  Dead = 2,
  /** Announced that it leaves. */
  Left = 3
}

/** What instances send each other about a member. */
export interface MemberEntry {
  readonly name: string
  /** IP address and port for datagrams. */
  readonly address: string
  /** IP address and port for procedure calls between instances. */
  readonly controlAddress: string
  readonly failureDomain: string
  /** Start of the process, milliseconds of Unix time; raised by one to refute a false report of death. */
  readonly incarnation: number
  readonly state: MemberState
}

export interface Member extends MemberEntry {
  /** When a suspect becomes dead, or a gone member is removed; milliseconds of Unix time. */
  readonly deadline: number
}

/** The configuration that a member has, as stated in each of its messages. */
export interface ConfigurationPosition {
  readonly revision: number
  readonly offset: number
  /** First digits of the digest of the configuration. */
  readonly digest: string
}

/** The last message of a member about itself. */
export interface Contact {
  /** Milliseconds of Unix time. */
  readonly receivedAt: number
  /** A new incarnation replaces the position of the old one. */
  readonly incarnation: number
  readonly position: ConfigurationPosition
}

export function isLive (member: MemberEntry): boolean {
  return member.state === MemberState.Alive
}

export function isGone (member: MemberEntry): boolean {
  return member.state === MemberState.Dead || member.state === MemberState.Left
}

/** Whether the update replaces the known entry: the higher incarnation wins, then the higher state. */
export function overrides (update: MemberEntry, known: MemberEntry): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation
  }
  return update.state > known.state
}

export function toEntry ({ name, address, controlAddress, failureDomain, incarnation, state }: MemberEntry): MemberEntry {
  return { name, address, controlAddress, failureDomain, incarnation, state }
}
