/**
 * Communication of this instance with the others: sends heartbeats at least once
 * a second, sends at once what cannot wait, and receives what the others send.
 * Every datagram may be lost: its contents are repeated with the next heartbeat
 * or can be determined again.
 */
import { hashNumber, isSocketAddress, type Cancellation, type Clock, type Random } from 'foxtaillever-core'
import { ComputedWatchers } from 'foxtaillever-policy/relay/computedWatchers'
import { AdmissionProtocol, type AdmissionProtocolOptions } from '../admission/admissionProtocol.js'
import type { CrashMessage } from '../crashes/crashMessage.js'
import { PeerLink, type PeerLinkOptions, type AnnouncedRecords } from './peerLink.js'
import { FleetLoad } from './fleetLoad.js'
import { LoadProtocol, type LoadProtocolOptions } from './loadProtocol.js'
import type { LeaseUpdate, PeerMessage, WeightsUpdate } from './peerMessage.js'
import { PeerTable } from './peerTable.js'
import type { ReadNotice } from './readNotice.js'
import { HeartbeatRounds } from './heartbeatRounds.js'
import { LimitOwners } from '../limits/limitOwners.js'
import { StreamHolders } from '../streams/streamHolders.js'
import type { AnnouncedTopic } from './announcedTopic.js'
import { MAX_ENGINES_IN_NOTICE } from './weightsNotice.js'

/**
 * Milliseconds between two heartbeats of a small fleet. Heartbeats carry the load of
 * servers that are not queried, and prompts wait at an engine for tens to hundreds of
 * milliseconds: sent once a second, that load would be outdated on arrival.
 */
const MIN_HEARTBEAT_MS = 200

/**
 * Datagrams that one instance sends in a millisecond. A heartbeat has some 190 bytes
 * with its headers: 45 a second are 8.6 KB/s. With more receivers, heartbeats are sent
 * less often, but at least once a second.
 */
const DATAGRAMS_PER_MS = 0.045

/** Milliseconds between two heartbeats of a large fleet. */
const MAX_HEARTBEAT_MS = 1000

/** Minimum milliseconds between two messages to all instances in addition to the heartbeats. */
const MIN_SEND_INTERVAL_MS = 250

/** Random part of the heartbeat interval, so that instances started together do not send together. */
const HEARTBEAT_JITTER = 0.2

/** A fleet with more other instances than this is large: a heartbeat goes to some of them only. */
const MAX_RECEIVERS = 24

/** Receivers of each heartbeat of a large fleet. One heartbeat a second of 230 bytes, sent and received, is 7.4 KB/s; load reports take another 6 on most days. */
const LARGE_FLEET_RECEIVERS = 16

/**
 * Engines with the newest weights in one heartbeat of a large fleet, 40 bytes,
 * drawn anew for each. With 16 heartbeats received a second, each of 42 engines
 * reaches every instance three times a second.
 */
const MAX_CURRENT_ENGINES = 8

/** Server limits in one heartbeat of a large fleet, 14 bytes each, drawn anew for each heartbeat. The start or end of a limit is sent at once in addition. */
const MAX_LIMITS = 8

/** Maximum receivers of a read notice, those of the own failure domain first: 60 bytes 1.4 times a second are 8 KB/s. */
const MAX_NOTIFIED = 96

/** Instances that find out what crashes the servers of a service: a small fleet as a whole, and enough of a large one to outlive kills. */
const CRASH_DECIDERS = 8

/** What this instance currently reports about itself. */
export type OwnReport = Omit<PeerMessage, 'name' | 'address' | 'failureDomain' | 'startedAt' | 'instances'>

export interface PeersOptions extends Pick<LoadProtocolOptions, 'ownLoads' | 'isQueried' | 'onSaved' | 'onUnreachable' | 'onBackingOff' | 'onRejectionReported' | 'onUnresponsive' | 'speeds'> {
  readonly clock: Clock
  readonly random: Random
  readonly name: string
  readonly failureDomain: string
  readonly host: string
  readonly port: number
  readonly ownReport: () => OwnReport
  readonly isLeaving: () => boolean
  /** Start of this process, milliseconds of Unix time. */
  readonly processStartedAt: number
  readonly lease: () => LeaseUpdate | undefined
  readonly recordsFrom: (topic: AnnouncedTopic, from: number) => AnnouncedRecords
  readonly onMessage: (message: PeerMessage) => void
  readonly onNotice: (notice: ReadNotice) => void
  readonly onWeights: PeerLinkOptions['onWeights']
  readonly onLeaseCall: PeerLinkOptions['onLeaseCall']
  readonly guard: PeerLinkOptions['guard']
  readonly onServerCall: PeerLinkOptions['onServerCall']
  readonly onLimit: PeerLinkOptions['onLimit']
  readonly onStreamVersion: PeerLinkOptions['onStreamVersion']
  readonly onCrash: PeerLinkOptions['onCrash']
  readonly admission: Pick<AdmissionProtocolOptions, 'roomOf' | 'onDecided' | 'onUnresponsive'>
}

export class Peers {
  readonly table = PeerTable.create()
  readonly fleetLoad: FleetLoad
  readonly link: PeerLink
  readonly loadProtocol: LoadProtocol
  readonly admission: AdmissionProtocol
  readonly address: string
  /** Determines which instances sum up a server's load, and which check a store of cached levels. */
  readonly watchers = ComputedWatchers.create()
  /** Determines which instances find out what crashes the servers of a service. */
  readonly crashDeciders = ComputedWatchers.create(CRASH_DECIDERS)
  /** Determines which instance decides on the quota of a client account. */
  readonly limitOwners: LimitOwners
  /** Determines which instances keep the software version of a stream. */
  readonly streamHolders: StreamHolders
  private readonly startedAt: number
  private readonly rounds: HeartbeatRounds
  /** As of the last heartbeat, or of the last instance that joined or left. */
  private likelyOthers: readonly PeerMessage[] = []
  private instanceCount = 1
  private cancelHeartbeat: Cancellation = () => {}
  private sentAt = 0
  private isSendDue = false
  private cancelSend: Cancellation = () => {}

  private constructor (private readonly options: PeersOptions) {
    const { clock, host, port, guard, recordsFrom, onNotice, onWeights, onLeaseCall, onServerCall, onLimit, onStreamVersion, onCrash, ownLoads, isQueried, onSaved, onUnreachable, onBackingOff, onRejectionReported, onUnresponsive, speeds, admission } = options
    this.address = `${host}:${port}`
    this.startedAt = clock.now()
    this.limitOwners = LimitOwners.create(this.options.processStartedAt)
    this.streamHolders = StreamHolders.create({ address: this.address, failureDomain: options.failureDomain })
    this.rounds = HeartbeatRounds.create(options.random)
    this.fleetLoad = FleetLoad.create(clock)
    this.link = PeerLink.create({
      clock, host, port, guard, recordsFrom, onNotice, onWeights, onLeaseCall, onServerCall, onLimit, onStreamVersion, onCrash, onMessage: message => this.handleMessage(message), onLoad: message => this.loadProtocol.handleMessage(message), onAdmission: message => this.admission.receive(message)
    })
    this.loadProtocol = LoadProtocol.create({
      clock, address: this.address, fleetLoad: this.fleetLoad, ownLoads, isQueried, onSaved, onUnreachable, onBackingOff, onRejectionReported, onUnresponsive, speeds, send: (address, message) => this.link.sendLoad(address, message), watchersOf: server => this.watchers.of(server), onReported: (server, reporter, added) => this.admission.recordLoad(server, reporter, added), queuedTokens: (...position) => this.admission.queuedTokens(...position)
    })
    this.admission = AdmissionProtocol.create({
      ...admission, clock, address: this.address, watchersOf: server => this.watchers.of(server), isComplete: () => this.loadProtocol.isComplete, loadOf: server => this.loadProtocol.watchedLoad(server), send: (address, message) => this.link.sendAdmission(address, message)
    })
  }

  static create (options: PeersOptions): Peers {
    return new Peers(options)
  }

  async start (): Promise<void> {
    await this.link.open()
    this.runHeartbeat()
  }

  async stop (): Promise<void> {
    this.cancelHeartbeat()
    this.cancelSend()
    this.loadProtocol.stop()
    this.admission.stop()
    await this.link.close()
  }

  /** Adds addresses at which instances may be; text that is no address is ignored. */
  addAddresses (addresses: readonly string[]): void {
    const now = this.options.clock.now()
    addresses.filter(address => address !== this.address && isSocketAddress(address)).forEach(address => this.table.addAddress(address, now))
    this.refresh()
    this.sendHeartbeat()
  }

  /** Adds the address of an instance that may not be known yet. */
  addAddress (address: string): void {
    if (address !== this.address && !this.table.has(address)) {
      this.addAddresses([address])
    }
  }

  /** Other instances that are alive. */
  alive (): PeerMessage[] {
    return this.table.alive(this.options.clock.now())
  }

  /** Other instances that are probably alive, though few of their heartbeats arrive here. */
  likely (): readonly PeerMessage[] {
    return this.likelyOthers
  }

  /** Number of instances, this one included. */
  count (): number {
    return this.instanceCount
  }

  /** Whether a heartbeat goes to some of the others only. */
  get isLarge (): boolean {
    return this.table.size > MAX_RECEIVERS
  }

  /** Tokens that the other instances are currently loading from the store of cached levels. */
  tokensFrom (store: string): number {
    const hash = hashNumber(store)
    return this.isLarge ? this.fleetLoad.sampledTokens(hash, this.table.size) : this.fleetLoad.of(hash).tokens
  }

  /** Sends a heartbeat to all instances now, for example when a lease was acquired or this instance is leaving. */
  sendHeartbeat (): void {
    this.link.send(this.receivers(), this.message())
  }

  /** Sends a heartbeat to all instances soon, for a change that cannot wait for the next one; several changes share it. */
  sendSoon (): void {
    if (!this.isSendDue) {
      this.isSendDue = true
      const { clock } = this.options
      this.cancelSend = clock.at(Math.max(clock.now(), this.sentAt + MIN_SEND_INTERVAL_MS), () => {
        this.isSendDue = false
        this.sentAt = clock.now()
        this.sendHeartbeat()
      })
    }
  }

  /** Announces to all instances now which engines are about to change or have changed, and the lease. */
  announceWeights (updates: readonly WeightsUpdate[]): void {
    const receivers = this.receivers()
    const lease = this.options.lease()
    for (let from = 0; from === 0 || from < updates.length; from += MAX_ENGINES_IN_NOTICE) {
      this.link.sendWeights(receivers, { lease, updates: updates.slice(from, from + MAX_ENGINES_IN_NOTICE) })
    }
  }

  /** Announces to other instances what was read from the store. */
  announceReading (notice: Omit<ReadNotice, 'address'>): void {
    this.link.sendNotice(this.noticeReceivers(), { ...notice, address: this.address })
  }

  /** Sends a message about crashes to all other instances. */
  announceCrash (message: CrashMessage): void {
    this.link.sendCrash(this.receivers(), message)
  }

  /** The next heartbeat is due even if this one fails: an instance without heartbeats counts as gone. */
  private runHeartbeat (): void {
    const { clock, random } = this.options
    const now = clock.now()
    this.table.expire(now)
    const heartbeatMs = this.isLarge ? MAX_HEARTBEAT_MS : Math.min(MAX_HEARTBEAT_MS, Math.max(MIN_HEARTBEAT_MS, this.table.size / DATAGRAMS_PER_MS))
    this.cancelHeartbeat = clock.at(now + heartbeatMs * (1 - HEARTBEAT_JITTER * random.next()), () => this.runHeartbeat())
    this.refresh()
    const alive = new Set(this.alive().map(({ address }) => address))
    this.fleetLoad.retain(address => alive.has(address))
    this.link.send(this.isLarge ? this.rounds.next(this.receivers(), LARGE_FLEET_RECEIVERS) : this.receivers(), this.message(MAX_LIMITS))
    this.loadProtocol.handleHeartbeat()
  }

  /**
   * Recomputes what depends on the set of instances. The results are used with every
   * request and every datagram, but change only when an instance joins, leaves or falls silent.
   */
  private refresh (): void {
    const now = this.options.clock.now()
    this.likelyOthers = this.table.likely(now, this.isLarge ? LARGE_FLEET_RECEIVERS : MAX_RECEIVERS)
    this.instanceCount = this.table.count(now)
    const likely = [this.address, ...this.likelyOthers.map(({ address }) => address)]
    this.watchers.setMembers(likely)
    this.crashDeciders.setMembers(likely)
    const lasting = this.table.lasting(now)
    this.streamHolders.setMembers(lasting.map(address => ({ address, failureDomain: this.table.lastMessage(address)?.failureDomain ?? '' })))
    this.limitOwners.setMembers(this.options.isLeaving() ? lasting : [this.address, ...lasting].sort(), this.table.knowsAll(now), now)
  }

  private receivers (): string[] {
    return this.table.all().map(({ address }) => address)
  }

  private noticeReceivers (): string[] {
    const { failureDomain } = this.options
    const peers = this.table.all()
    if (peers.length <= MAX_NOTIFIED) {
      return peers.map(({ address }) => address)
    }
    const near = peers.filter(({ lastMessage }) => lastMessage?.failureDomain === failureDomain)
    const far = peers.filter(({ lastMessage }) => lastMessage?.failureDomain !== failureDomain)
    return [...near, ...far].slice(0, MAX_NOTIFIED).map(({ address }) => address)
  }

  private message (maxLimits = Infinity): PeerMessage {
    const { clock, name, failureDomain, ownReport } = this.options
    return { name, address: this.address, failureDomain, startedAt: this.startedAt, instances: this.table.known(clock.now()), ...this.limit(ownReport(), maxLimits) }
  }

  private limit (report: OwnReport, maxLimits: number): OwnReport {
    return this.isLarge ? { ...report, limits: this.draw(report.limits, maxLimits), brittle: this.draw(report.brittle, maxLimits), current: report.current.map(current => ({ ...current, engines: this.draw(current.engines, MAX_CURRENT_ENGINES) })) } : report
  }

  private draw<T> (all: readonly T[], max: number): T[] {
    const drawn = [...all]
    while (drawn.length > max) {
      drawn.splice(this.options.random.below(drawn.length), 1)
    }
    return drawn
  }

  private handleMessage (message: PeerMessage): void {
    const known = this.table.lastMessage(message.address)
    if (message.address !== this.address && this.table.recordMessage(message, this.options.clock.now())) {
      this.instanceCount = Math.max(this.instanceCount, message.instances)
      if (known === undefined || known.isLeaving !== message.isLeaving) {
        this.refresh()
      }
      this.fleetLoad.setPeerLoad(message.address, message.loads)
      this.loadProtocol.applyWatchedServers(message.sums)
      this.options.onMessage(message)
    }
  }
}
