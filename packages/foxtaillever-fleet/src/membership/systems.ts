/**
 * The systems of one instance in the order in which they run, and the way of
 * each message through them.
 */
import type { Clock, InstanceList } from 'foxtaillever-core'
import type { ConfigurationStore } from '../configuration/configurationStore.js'
import { InForceSystem } from '../configuration/inForceSystem.js'
import { PullSystem } from '../configuration/pullSystem.js'
import { FactSystem } from '../softState/factSystem.js'
import type { Membership } from './membership.js'
import { MessageKind, type Message } from './message.js'
import { NewsSystem } from './newsSystem.js'
import type { Peers } from './peers.js'
import { ProbeSystem } from './probeSystem.js'
import { SeedSystem, type ListedAddress } from './seedSystem.js'
import { SyncSystem } from './syncSystem.js'

export interface SystemParts {
  readonly seeds: readonly string[]
  readonly instances: InstanceList
  /** Without it, instances take datagrams at the listed address. */
  readonly gossipAddressOf?: ListedAddress
  readonly peers: Peers
  readonly clock: Clock
  /** When the log last answered, milliseconds of Unix time. */
  readonly logAnsweredAt: () => number
}

type Handler = (message: Message, address: string) => void

export class Systems {
  readonly probes: ProbeSystem
  readonly news: NewsSystem
  readonly seeds: SeedSystem
  readonly sync: SyncSystem
  readonly pulls: PullSystem
  readonly inForce: InForceSystem
  readonly facts: FactSystem
  private readonly handlers: Record<MessageKind, Handler>

  private constructor (private readonly membership: Membership, store: ConfigurationStore, parts: SystemParts) {
    this.probes = ProbeSystem.create(membership)
    this.news = NewsSystem.create(membership)
    this.seeds = SeedSystem.create(membership, parts.seeds, parts.instances, parts.gossipAddressOf ?? (({ address }) => address), parts.clock)
    this.sync = SyncSystem.create(membership, parts.peers)
    this.pulls = PullSystem.create(store, parts)
    this.inForce = InForceSystem.create(store, membership, this.probes, parts.clock)
    this.facts = FactSystem.create(membership)
    store.onChange(() => this.news.tellRevision())
    this.handlers = {
      [MessageKind.Probe]: (message, address) => this.probes.receiveProbe(message, address),
      [MessageKind.Ack]: message => this.probes.receiveAck(message),
      [MessageKind.ProbeFor]: (message, address) => this.probes.receiveProbeFor(message, address),
      [MessageKind.News]: () => {},
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
    this.seeds.tick()
    this.news.tick()
    this.facts.tick()
    this.pulls.tick()
    this.inForce.tick()
  }

  /**
   * This process was paused. Answers that came meanwhile are lost, so what it
   * would now conclude of others is wrong: it starts anew with its doubts.
   */
  wake (): void {
    this.probes.clear()
    this.membership.table.postponeSuspicions(this.membership.clock.now())
  }

  receive (message: Message): void {
    if (message.sender === this.membership.name()) {
      message.entries.forEach(entry => this.membership.learn(entry, false))
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

  /** Tells a process that woke up late that another bears its name now. */
  answerSuperseded (message: Message): void {
    const known = this.membership.table.get(message.sender)
    const old = message.entries.find(entry => entry.name === message.sender)
    if (known !== undefined && old !== undefined && old.incarnation < known.incarnation) {
      this.membership.messenger.send(old.address, { kind: MessageKind.Ack, entries: [known] })
    }
  }
}
