/**
 * One instance among the others: the face that the router sees. Tables hold
 * what is known, systems run over them each tick, one thread does it all.
 */
import type { Cancellation, Clock, InstanceList, Log, Random } from 'foxtaillever-core'
import { ConfigurationStore } from './configuration/configurationStore.js'
import type { InForce } from './configuration/inForceSystem.js'
import { Publisher, type Publication, type PublicationRequest } from './configuration/publisher.js'
import { SnapshotWriter } from './configuration/snapshotWriter.js'
import { createDump, type FleetDump } from './fleetDump.js'
import { LogReader, type GapListener, type RecordReader } from './log/logReader.js'
import type { Datagrams } from './membership/datagrams.js'
import type { Member } from './membership/member.js'
import { MemberTable } from './membership/memberTable.js'
import { Membership } from './membership/membership.js'
import { Messenger } from './membership/messenger.js'
import type { Peers, PeerSource } from './membership/peers.js'
import type { ListedAddress } from './membership/seedSystem.js'
import { Self, type SelfDescription } from './membership/self.js'
import { Systems } from './membership/systems.js'
import type { KeyRing } from './security/keyRing.js'
import type { Fact, FactKind } from './softState/fact.js'
import type { FactListener } from './softState/factSystem.js'

/** Period of the systems, milliseconds. Two a second find a dead member in two and stay within the bytes. */
export const TICK_MS = 500

/** Random part of a period, milliseconds, so that instances started together do not send together. */
const TICK_SPREAD_MS = 50

/** A tick this late means that the process itself was paused, milliseconds. */
const PAUSE_MS = 2500

/** How long after the last word of any other an instance still counts as in touch, milliseconds. */
const TOUCH_MS = 5000

export interface FleetOptions {
  readonly self: SelfDescription
  /** Addresses for datagrams of some instances, besides what the platform lists. */
  readonly seeds: readonly string[]
  readonly log: Log
  /** How long the platform keeps records, milliseconds. */
  readonly logRetentionMs: number
  readonly instances: InstanceList
  /** The address for datagrams of a listed instance, where it is not the listed one. */
  readonly gossipAddressOf?: ListedAddress
  readonly datagrams: Datagrams
  readonly peers: Peers
  readonly keys: KeyRing
  readonly clock: Clock
  readonly random: Random
  /** Further readers of the log; they see each record after the configuration. */
  readonly readers?: readonly RecordReader[]
  /** Hears of records that left the log unread. */
  readonly onGap?: GapListener
}

export class Fleet implements PeerSource {
  readonly store: ConfigurationStore
  private readonly publisher: Publisher
  private readonly snapshots: SnapshotWriter
  private readonly reader: LogReader
  private readonly membership: Membership
  private readonly systems: Systems
  private cancelTick: Cancellation = () => {}
  private lastTickAt = 0
  private running = false

  private constructor (private readonly options: FleetOptions) {
    const { log, clock, random, keys, datagrams } = options
    this.store = ConfigurationStore.create()
    this.publisher = Publisher.create(log, this.store, clock, random)
    this.snapshots = SnapshotWriter.create(log, this.store, clock, random, options.logRetentionMs)
    this.reader = LogReader.create(log, clock, [this.store.applyRecord, this.publisher.handleRecord, this.snapshots.handleRecord, ...options.readers ?? []], (first, page) => {
      this.store.noteFirstRetainedOffset(first)
      options.onGap?.(first, page)
    })
    const self = Self.create(options.self, clock.now())
    const table = MemberTable.create()
    const messenger = Messenger.create({ self, table, store: this.store, keys, clock, datagrams })
    this.membership = Membership.create(self, table, messenger, clock, random)
    this.systems = Systems.create(this.membership, this.store, { ...options, logAnsweredAt: () => this.reader.lastReadAt() })
  }

  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  /** Opens the socket, starts to read the log and to look for others; waits for none of them. */
  async start (): Promise<void> {
    await this.membership.messenger.open(message => this.systems.receive(message), message => this.systems.answerSuperseded(message))
    this.running = true
    this.lastTickAt = this.options.clock.now()
    this.reader.start()
    this.tick()
  }

  /** Names the addresses that the system chose; to be called before the start. */
  setAddresses (addresses: Pick<SelfDescription, 'address' | 'controlAddress'>): void {
    this.membership.self.setAddresses(addresses)
    this.membership.announce()
  }

  /** Tells the others that this instance leaves; it still answers them. */
  leave (): void {
    this.systems.news.sayGoodbye()
  }

  /** Leaves and closes. */
  async stop (): Promise<void> {
    if (!this.running) {
      return
    }
    this.leave()
    this.running = false
    this.cancelTick()
    this.reader.stop()
    await this.membership.messenger.close()
  }

  /** Members that are alive, this instance included, in order of name. */
  members (): readonly Member[] {
    return this.membership.table.alive()
  }

  /** Rises with each change of members; what is computed from them holds for one version. */
  membersVersion (): number {
    return this.membership.table.version()
  }

  /** Probes a member at once, for a caller that it did not answer. */
  doubt (name: string): void {
    const member = this.membership.table.get(name)
    if (member !== undefined) {
      this.systems.probes.probe(member)
    }
  }

  /** Whether another has been heard lately; an instance alone in its fleet never is. */
  isInTouch (): boolean {
    return this.options.clock.now() - this.membership.contacts.lastHeardAt() < TOUCH_MS
  }

  /** Whether a later process bears this instance's name; it should stop. */
  isSuperseded (): boolean {
    return this.membership.self.isSuperseded()
  }

  /** The reader of the log, for what it says of the log's state. */
  logReader (): LogReader {
    return this.reader
  }

  async publish (request: PublicationRequest): Promise<Publication> {
    return await this.publisher.publish(request)
  }

  /** Answers when all live members have the revision in force, at the latest at the deadline. */
  async waitInForce (revision: number, deadline: number): Promise<InForce> {
    return await this.systems.inForce.waitForRevision(revision, deadline)
  }

  /** Tells all instances a fact until its deadline; false when it is too large. */
  share (kind: FactKind, key: string, value: unknown, deadline: number): boolean {
    return this.systems.facts.share(kind, key, value, deadline)
  }

  /** Facts that hold now, this instance's own included. */
  facts (kind: FactKind): readonly Fact[] {
    return this.systems.facts.table.of(kind)
  }

  /** Calls the listener with each new fact of another instance. */
  onFact (listener: FactListener): () => void {
    return this.systems.facts.onFact(listener)
  }

  /** What a peer gets that asks for the configuration. */
  configuration () {
    return this.store.current()
  }

  /** What a peer gets that is a few revisions behind. */
  changesSince (revision: number) {
    return this.store.changesSince(revision)
  }

  /** What a peer gets that asks for the table of members. */
  memberEntries () {
    return this.membership.table.all()
  }

  dump (): FleetDump {
    return createDump(this.membership, this.store, this.reader, this.systems, this.snapshots)
  }

  private tick (): void {
    if (!this.running) {
      return
    }
    const { clock, random } = this.options
    const now = clock.now()
    if (now - this.lastTickAt > PAUSE_MS) {
      this.systems.wake()
    }
    this.lastTickAt = now
    this.systems.tick()
    this.snapshots.tick()
    this.cancelTick = clock.at(now + TICK_MS + random.below(TICK_SPREAD_MS), () => this.tick())
  }
}
