/**
 * The systems of one instance in the order in which they run, and the dispatch
 * of each message to them.
 */
import type { Clock, InstanceList } from 'foxtaillever-core'
import type { ConfigurationStore } from '../configuration/configurationStore.js'
import { InForceSystem } from '../configuration/inForceSystem.js'
import { PullSystem } from '../configuration/pullSystem.js'
import { FactSystem } from '../softState/factSystem.js'
import type { Membership } from './membership.js'
import { MessageKind, type Message } from './message.js'
import { MembershipUpdateSystem } from './membershipUpdateSystem.js'
import type { Peers } from './peers.js'
import { ProbeSystem } from './probeSystem.js'
import { DiscoverySystem, type ListedAddressResolver } from './discoverySystem.js'
import { SyncSystem } from './syncSystem.js'

export interface SystemParts {
  readonly seeds: readonly string[]
  readonly instances: InstanceList
  /** If not given, instances receive datagrams at the listed address. */
  readonly gossipAddressOf?: ListedAddressResolver
  readonly peers: Peers
  readonly clock: Clock
  /** When the log last answered, milliseconds of Unix time. */
  readonly logAnsweredAt: () => number
}

type Handler = (message: Message, address: string) => void

export class Systems {
  readonly probes: ProbeSystem
  readonly updates: MembershipUpdateSystem
  readonly discovery: DiscoverySystem
  readonly sync: SyncSystem
  readonly pulls: PullSystem
  readonly inForce: InForceSystem
  readonly facts: FactSystem
  private readonly handlers: Record<MessageKind, Handler>

  private constructor (private readonly membership: Membership, store: ConfigurationStore, parts: SystemParts) {
    this.probes = ProbeSystem.create(membership)
    this.updates = MembershipUpdateSystem.create(membership)
    this.discovery = DiscoverySystem.create(membership, parts.seeds, parts.instances, parts.gossipAddressOf ?? (({ address }) => address), parts.clock)
    this.sync = SyncSystem.create(membership, parts.peers)
    this.pulls = PullSystem.create(store, parts)
    this.inForce = InForceSystem.create(store, membership, this.probes, parts.clock)
    this.facts = FactSystem.create(membership)
    store.onChange(() => this.updates.announceRevision())
    this.handlers = {
      [MessageKind.Probe]: (message, address) => this.probes.receiveProbe(message, address),
      [MessageKind.Ack]: message => this.probes.receiveAck(message),
      [MessageKind.IndirectProbe]: (message, address) => this.probes.receiveIndirectProbe(message, address),
      [MessageKind.MemberUpdates]: () => {},
      [MessageKind.Facts]: message => this.facts.receive(message)
    }
  }

  static create (membership: Membership, store: ConfigurationStore, parts: SystemParts): Systems {
    return new Systems(membership, store, parts)
  }

  tick (): void {
    this.membership.messenger.tick()
    this.membership.tick()
    this.probes.tick()
    this.discovery.tick()
    this.updates.tick()
    this.facts.tick()
    this.pulls.tick()
    this.inForce.tick()
  }

  /**
   * Called after this process was paused. Acknowledgements that arrived meanwhile
   * are lost, so probes in flight are dropped and suspicions start again.
   */
  resumeAfterPause (): void {
    this.probes.clearProbes()
    this.membership.table.restartSuspicions(this.membership.clock.now())
  }

  receive (message: Message): void {
    if (message.sender === this.membership.name()) {
      message.entries.forEach(entry => this.membership.applyEntry(entry, false))
      return
    }
    this.membership.receive(message)
    const sender = this.membership.table.get(message.sender)
    if (sender === undefined) {
      return
    }
    this.pulls.receivePosition(sender.controlAddress, message.position)
    this.inForce.finishCompleteWaits()
    this.sync.receive(message)
    this.handlers[message.kind]?.(message, sender.address)
  }

  /** Notifies a process that resumed after a long pause that another one has its name now. */
  notifySuperseded (message: Message): void {
    const known = this.membership.table.get(message.sender)
    const old = message.entries.find(entry => entry.name === message.sender)
    if (known !== undefined && old !== undefined && old.incarnation < known.incarnation) {
      this.membership.messenger.send(old.address, { kind: MessageKind.Ack, entries: [known] })
    }
  }
}
