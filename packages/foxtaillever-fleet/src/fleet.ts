/**
 * One instance's membership in the fleet, as the router uses it. Tables hold the
 * state, and systems process it each tick, all on one thread.
 */
import type { Cancellation, Clock, InstanceList, Log, Random } from 'foxtaillever-core'
import { ConfigurationStore } from './configuration/configurationStore.js'
import type { InForce } from './configuration/inForceSystem.js'
import { Publisher, type Publication, type PublicationRequest } from './configuration/publisher.js'
import { SnapshotWriter } from './configuration/snapshotWriter.js'
import { createDump, type FleetDump } from './fleetDump.js'
import { LogReader, type GapListener, type RecordHandler, type ErrorListener } from './log/logReader.js'
import type { Datagrams } from './membership/datagrams.js'
import type { Member } from './membership/member.js'
import { MemberTable } from './membership/memberTable.js'
import { Membership } from './membership/membership.js'
import { Messenger } from './membership/messenger.js'
import type { Peers, PeerSource } from './membership/peers.js'
import type { ListedAddressResolver } from './membership/discoverySystem.js'
import { Self, type SelfDescription } from './membership/self.js'
import { Systems } from './membership/systems.js'
import type { KeyRing } from './security/keyRing.js'
import type { Fact, FactKind } from './softState/fact.js'
import type { FactListener } from './softState/factSystem.js'

/** Period of the systems, milliseconds. Two ticks a second detect a dead member within two seconds and stay within the byte budget. */
export const TICK_MS = 500

/** Random part of a period, milliseconds, so that instances that start at the same time do not send at the same time. */
const TICK_SPREAD_MS = 50

/** Time between two ticks that shows that the process was suspended, milliseconds. */
const PAUSE_THRESHOLD_MS = 2500

/** How long an instance counts as in contact after the last message of any other instance, milliseconds. */
const CONTACT_TIMEOUT_MS = 5000

export interface FleetOptions {
  readonly self: SelfDescription
  /** Datagram addresses of some instances, in addition to those that the platform lists. */
  readonly seeds: readonly string[]
  readonly log: Log
  /** How long the platform's log retains records, milliseconds. */
  readonly logRetentionMs: number
  readonly instances: InstanceList
  /** The datagram address of a listed instance, where it differs from the listed address. */
  readonly gossipAddressOf?: ListedAddressResolver
  readonly datagrams: Datagrams
  readonly peers: Peers
  readonly keys: KeyRing
  readonly clock: Clock
  readonly random: Random
  /** Further readers of the log; they get each record after the configuration store. */
  readonly readers?: readonly RecordHandler[]
  /** Called when records expired before they were read. */
  readonly onGap?: GapListener
  /** Called with an error of a reader of the log; without it, the error ends the process. */
  readonly onLogError?: ErrorListener
}

export class Fleet implements PeerSource {
  readonly store: ConfigurationStore
  private readonly publisher: Publisher
  private readonly snapshotWriter: SnapshotWriter
  private readonly reader: LogReader
  private readonly membership: Membership
  private readonly systems: Systems
  private cancelTick: Cancellation = () => {}
  private lastTickAt = 0
  private isRunning = false

  private constructor (private readonly options: FleetOptions) {
    const { log, clock, random, keys, datagrams } = options
    this.store = ConfigurationStore.create()
    this.publisher = Publisher.create(log, this.store, clock, random)
    this.snapshotWriter = SnapshotWriter.create(log, this.store, clock, random, options.logRetentionMs)
    this.reader = LogReader.create(log, clock, [this.store.applyRecord, this.publisher.handleRecord, this.snapshotWriter.handleRecord, ...options.readers ?? []], (first, page) => {
      this.store.noteFirstRetainedOffset(first)
      options.onGap?.(first, page)
    }, options.onLogError)
    const self = Self.create(options.self, clock.now())
    const table = MemberTable.create()
    const messenger = Messenger.create({ self, table, store: this.store, keys, clock, datagrams })
    this.membership = Membership.create(self, table, messenger, clock, random)
    this.systems = Systems.create(this.membership, this.store, { ...options, logAnsweredAt: () => this.reader.lastReadAt() })
  }

  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  /** Opens the socket, and starts to read the log and to find other instances without waiting for either. */
  async start (): Promise<void> {
    await this.membership.messenger.open(message => this.systems.receive(message), message => this.systems.notifySuperseded(message))
    this.isRunning = true
    this.lastTickAt = this.options.clock.now()
    this.reader.start()
    this.tick()
  }

  /** Sets the addresses that the operating system assigned; to be called before the start. */
  setAddresses (addresses: Pick<SelfDescription, 'address' | 'controlAddress'>): void {
    this.membership.self.setAddresses(addresses)
    this.membership.announce()
  }

  /** Announces that this instance leaves; it still answers messages. */
  leave (): void {
    this.systems.updates.announceLeave()
  }

  /** Leaves the fleet and closes the socket. */
  async stop (): Promise<void> {
    if (!this.isRunning) {
      return
    }
    this.leave()
    this.isRunning = false
    this.cancelTick()
    this.reader.stop()
    await this.membership.messenger.close()
  }

  /** Live members, this instance included, sorted by name. */
  members (): readonly Member[] {
    return this.membership.table.alive()
  }

  /** Increases with each change of members; values computed from the members are valid for one version. */
  membersVersion (): number {
    return this.membership.table.version()
  }

  /** Probes a member at once, because it did not answer a call. */
  probeMember (name: string): void {
    const member = this.membership.table.get(name)
    if (member !== undefined) {
      this.systems.probes.probe(member)
    }
  }

  /** Whether a message of another instance arrived recently; never true for the only instance of a fleet. */
  hasRecentContact (): boolean {
    return this.options.clock.now() - this.membership.contacts.lastReceivedAt() < CONTACT_TIMEOUT_MS
  }

  /** Whether a newer process has this instance's name; if so, this process should stop. */
  isSuperseded (): boolean {
    return this.membership.self.isSuperseded()
  }

  /** The reader of the log, which reports the log's state. */
  logReader (): LogReader {
    return this.reader
  }

  async publish (request: PublicationRequest): Promise<Publication> {
    return await this.publisher.publish(request)
  }

  /** Resolves when all live members have the revision in force, at the latest at the deadline. */
  async waitInForce (revision: number, deadline: number): Promise<InForce> {
    return await this.systems.inForce.waitForRevision(revision, deadline)
  }

  /** Announces a fact to all instances, valid until its deadline; returns false if the fact is too large. */
  announceFact (kind: FactKind, key: string, value: unknown, deadline: number): boolean {
    return this.systems.facts.share(kind, key, value, deadline)
  }

  /** Currently valid facts, this instance's own included. */
  facts (kind: FactKind): readonly Fact[] {
    return this.systems.facts.table.of(kind)
  }

  /** Calls the listener with each new fact of another instance. */
  onFact (listener: FactListener): () => void {
    return this.systems.facts.onFact(listener)
  }

  /** Response to a peer that requests the configuration. */
  configuration () {
    return this.store.current()
  }

  /** Response to a peer that is a few revisions behind. */
  changesSince (revision: number) {
    return this.store.changesSince(revision)
  }

  /** Response to a peer that requests the member table. */
  memberEntries () {
    return this.membership.table.all()
  }

  dump (): FleetDump {
    return createDump(this.membership, this.store, this.reader, this.systems, this.snapshotWriter)
  }

  private tick (): void {
    if (!this.isRunning) {
      return
    }
    const { clock, random } = this.options
    const now = clock.now()
    if (now - this.lastTickAt > PAUSE_THRESHOLD_MS) {
      this.systems.resumeAfterPause()
    }
    this.lastTickAt = now
    try {
      this.systems.tick()
      this.snapshotWriter.tick()
    } finally {
      this.cancelTick = clock.at(now + TICK_MS + random.below(TICK_SPREAD_MS), () => this.tick())
    }
  }
}
