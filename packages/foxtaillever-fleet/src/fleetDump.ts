/**
 * A dump of one instance's state in the fleet, for operators.
 */
import type { ConfigurationStore } from './configuration/configurationStore.js'
import type { SnapshotWriter } from './configuration/snapshotWriter.js'
import type { LogReader } from './log/logReader.js'
import { MemberState, type Contact, type Member } from './membership/member.js'
import type { Membership } from './membership/membership.js'
import type { Traffic } from './membership/messenger.js'
import type { Systems } from './membership/systems.js'

/** One member in the dump. */
export interface DumpedMember {
  readonly name: string
  readonly address: string
  readonly failureDomain: string
  readonly state: string
  readonly incarnation: number
  readonly heardAt: number
  readonly revision: number
}

export interface FleetDump {
  readonly name: string
  readonly incarnation: number
  readonly superseded: boolean
  readonly revision: number
  readonly preset: string
  readonly foldOffset: number
  readonly digest: string
  readonly gap: boolean
  readonly divergences: number
  readonly logOffset: number
  readonly logLastReadAt: number
  readonly snapshotDueAt: number
  readonly members: readonly DumpedMember[]
  readonly facts: number
  readonly factsWaiting: number
  readonly factsRefused: number
  readonly factsUnreadable: number
  readonly rumours: number
  readonly tablesFetched: number
  readonly configurationsPulled: number
  readonly traffic: Readonly<Traffic>
}

function dumpMember (member: Member, contact: Contact | undefined): DumpedMember {
  const { name, address, failureDomain, state, incarnation } = member
  return { name, address, failureDomain, incarnation, state: MemberState[state], heardAt: contact?.receivedAt ?? 0, revision: contact?.position.revision ?? 0 }
}

export function createDump (membership: Membership, store: ConfigurationStore, reader: LogReader, systems: Systems, snapshots: SnapshotWriter): FleetDump {
  const { configuration, offset, digest } = store.current()
  const { name, incarnation } = membership.self.entry()
  return {
    name,
    incarnation,
    superseded: membership.self.isSuperseded(),
    revision: configuration.revision,
    preset: configuration.presetInForce,
    foldOffset: offset,
    digest,
    gap: store.hasGap(),
    divergences: store.divergenceCount(),
    logOffset: reader.offset(),
    logLastReadAt: reader.lastReadAt(),
    snapshotDueAt: snapshots.dueAt(),
    members: membership.table.all().map(member => dumpMember(member, membership.contacts.get(member.name))),
    facts: systems.facts.table.size(),
    factsWaiting: systems.facts.waitingCount(),
    factsRefused: systems.facts.table.refusedCount(),
    factsUnreadable: systems.facts.unreadableCount(),
    rumours: membership.updates.size(),
    tablesFetched: systems.sync.fetchCount(),
    configurationsPulled: systems.pulls.pullCount(),
    traffic: { ...membership.messenger.traffic }
  }
}
