/**
 * This instance's replica of the platform's store: operators' records and the
 * backend servers' entries. Few instances read the store at a time and notify the
 * others. An instance that receives no notices reads the store itself, and queries
 * another instance while the store does not answer it.
 */
import type { AnnouncedRecords } from '../peers/peerLink.js'
import type { Positions } from '../peers/peerMessage.js'
import { limitNewRecords, type ReadNotice, type ReadPosition } from '../peers/readNotice.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import { FreshnessTracker } from './freshnessTracker.js'
import type { StoreReplicaOptions } from './storeReplicaOptions.js'
import { PeerRecordFetcher, type PeerProgress, type PeerAnswer } from './peerRecordFetcher.js'
import { ReadingLog } from './readingLog.js'
import { ReadPlans } from './readPlans.js'
import { RecordRanking, RecordTable, type RecordUpdate } from './recordTable.js'
import { eraOf, formatPosition } from './storePosition.js'
import { SuspensionDetector } from './suspensionDetector.js'
import { TopicFollower } from './topicFollower.js'

/** Between two checks whether another instance is ahead, milliseconds. */
const CHECK_INTERVAL_MS = 200

/** A read that ended at most this long ago is announced as current, milliseconds. */
const FRESH_TOLERANCE_MS = 50

/** In this time a live server writes its entry several times, and the entry of a server that has left is removed again, milliseconds. */
const RESURRECTED_KEYS_MS = 5000

/** An instance that waits at the store gets a change soon after another one announced it; share of the bound on configurations after which its call is abandoned. */
const OWN_ANSWER_SHARE = 0.05

const topics = Object.values(AnnouncedTopic)

const rankings: Readonly<Record<AnnouncedTopic, RecordRanking>> = {
  [AnnouncedTopic.Operators]: RecordRanking.ByContents,
  [AnnouncedTopic.Servers]: RecordRanking.ByOffset
}

interface FollowedTopic {
  readonly table: RecordTable
  readonly follower: TopicFollower
  /** Changes before this offset were announced to or by other instances. */
  announcedEnd: number
  /** It will be checked whether the call in flight has brought what another instance announced. */
  isRecheckDue: boolean
}

export class StoreReplica {
  private readonly freshness = FreshnessTracker.create()
  private readonly plans: ReadPlans
  private readonly readingLog: ReadingLog
  private readonly suspensionDetector: SuspensionDetector
  private readonly followed: Readonly<Record<AnnouncedTopic, FollowedTopic>>
  private readonly peerFetcher: PeerRecordFetcher
  private cancelCheck = (): void => {}
  /** Until this time this instance reads the store itself for heartbeats of resurrected keys, milliseconds of Unix time. */
  private resurrectedKeysUntil = -Infinity
  /** The highest known era of the store. */
  private era = 0

  private constructor (private readonly options: StoreReplicaOptions) {
    this.plans = ReadPlans.create({ ...options, freshness: this.freshness, servers: () => this.servers.follower })
    this.readingLog = ReadingLog.create(options.relayLog)
    this.suspensionDetector = SuspensionDetector.create(options.clock, options.wallSeconds)
    this.peerFetcher = PeerRecordFetcher.create({ ...options, onAnswer: (topic, answer) => this.handlePeerAnswer(topic, answer) })
    this.followed = {
      [AnnouncedTopic.Operators]: this.createFollowedTopic(AnnouncedTopic.Operators),
      [AnnouncedTopic.Servers]: this.createFollowedTopic(AnnouncedTopic.Servers)
    }
  }

  static create (options: StoreReplicaOptions): StoreReplica {
    return new StoreReplica(options)
  }

  start (): void {
    topics.forEach(topic => this.followed[topic].follower.start())
    this.check()
  }

  stop (): void {
    this.cancelCheck()
    topics.forEach(topic => this.followed[topic].follower.stop())
  }

  /** Whether both topics are known completely, from the store or from other instances. */
  get isComplete (): boolean {
    return topics.every(topic => this.followed[topic].table.isComplete)
  }

  /** Whether the store answered this instance's last call for servers' entries. */
  get hasStore (): boolean {
    return this.servers.follower.isAnswered
  }

  /** Rises each time the store is restored from a backup. */
  get storeEra (): number {
    return Math.max(this.era, this.options.log.era)
  }

  /** Time as of which the servers' entries are known here, milliseconds of Unix time; -Infinity if they never were, 0 if they may be stale. */
  get serversKnownAt (): number {
    return this.freshness.freshAt
  }

  /** Checks at once whether the store answers, after a call outside this class failed. */
  checkStore (): void {
    this.servers.follower.readNow()
  }

  /** Until this time a missing entry may be written again, milliseconds of Unix time: the store was down for all instances, or was restored. */
  get removalsDeferredUntil (): number {
    return this.freshness.removalsDeferredUntil
  }

  get positions (): Positions {
    const { operators, servers } = this.followed
    return { operators: operators.table.position, servers: servers.table.position }
  }

  /** Update of a topic for an instance that knows everything before an offset. */
  updateSince (topic: AnnouncedTopic, from: number): AnnouncedRecords {
    return this.followed[topic].table.createUpdateSince(from)
  }

  /** Handles the notice of another instance that has read the store. */
  handleNotice ({ address, isFresh, isWatching, positions, newRecords }: ReadNotice): void {
    const now = this.options.clock.now()
    this.freshness.recordWatch(address, isWatching, now)
    if (isFresh) {
      // First, because whether a removal is deferred depends on when the store recovered.
      this.freshness.recordStoreAnswer(now, this.servers.follower.isFailing)
    }
    if (newRecords) {
      this.applyUpdate(newRecords.topic, { ...newRecords, position: positions[newRecords.topic].position, keys: undefined })
    }
    this.advanceEra(Math.max(...topics.map(topic => eraOf(positions[topic].position))))
    topics.forEach(topic => this.handlePeerPosition(topic, positions[topic], address, isFresh ? now : -Infinity))
    topics.forEach(topic => this.followed[topic].follower.reschedule())
  }

  private get servers (): FollowedTopic {
    return this.followed[AnnouncedTopic.Servers]
  }

  private createFollowedTopic (topic: AnnouncedTopic): FollowedTopic {
    const { clock, random, log, topics: names, relayLog, onRecord } = this.options
    const table = RecordTable.create(onRecord[topic], rankings[topic])
    const follower = TopicFollower.create({
      ...this.plans.of(topic),
      clock,
      random,
      log,
      topic: names[topic],
      hasPeerUpdates: () => this.plans.isFresh,
      onRecord: record => this.readingLog.noteRecord(topic, table.applyRecord(record)),
      onListedRecord: record => this.readingLog.noteRecord(topic, table.applyListedRecord(record)),
      onCompleteRead: (keys, end) => {
        this.readingLog.logCompleteRead({ topic, end, known: table.position }, keys.size)
        this.recordEra(topic, end)
        this.resurrectedKeysUntil = clock.now() + RESURRECTED_KEYS_MS
        this.handleReading(topic, end, () => table.retain(keys, end))
      },
      onAdvanced: end => {
        this.readingLog.logPartialRead({ topic, end, known: table.position })
        if (topic === AnnouncedTopic.Operators && end > table.position) {
          this.readingLog.logNewRecords({ topic, end, known: table.position }, this.followed[topic].follower.lastCallAt, clock.now())
        }
        this.handleReading(topic, end, () => table.advanceTo(end))
      },
      onUnreachable: failure => {
        relayLog.trouble('The platform\'s store does not answer.', { topic, reason: failure.message })
        this.notifyPeers(undefined)
      },
      onRecovered: () => {
        relayLog.belief('The platform\'s store answers again.', { topic })
        topics.forEach(other => this.followed[other].follower.reschedule())
      },
      onError: error => relayLog.trouble('An unexpected error interrupted the reading of a topic of the platform\'s store.', { topic, position: formatPosition(table.position), reason: String(error) })
    })
    return { table, follower, announcedEnd: 0, isRecheckDue: false }
  }

  /** Called before records of a later era are applied: entries that they lack may be written again. */
  private recordEra (topic: AnnouncedTopic, position: number): void {
    const { table } = this.followed[topic]
    const era = eraOf(position)
    if (!table.isComplete) {
      this.era = Math.max(this.era, era)
    } else if (topic === AnnouncedTopic.Servers && era > eraOf(table.position)) {
      this.freshness.recordRestore(this.options.clock.now())
    }
  }

  /** Reads everything again once the store was restored from a backup. */
  private advanceEra (era: number): void {
    if (era > this.era) {
      this.options.relayLog.trouble('The platform\'s store was restored from an older copy.', { era, before: this.era })
      this.era = era
      this.options.onRestored()
    }
    topics.forEach(topic => this.followed[topic].follower.readEra(era))
  }

  /** Records a successful read up to an offset and notifies the other instances. */
  private handleReading (topic: AnnouncedTopic, offset: number, advance: () => void): void {
    const { table, follower } = this.followed[topic]
    const wasComplete = table.isComplete
    const from = this.followed[topic].announcedEnd
    advance()
    this.recordChange(topic)
    this.followed[topic].announcedEnd = table.changed
    const update = wasComplete && table.changed > from && table.knowsRemovalsSince(from) ? limitNewRecords({ topic, from, records: table.recordsSince(from) }) : undefined
    if (topic === AnnouncedTopic.Servers) {
      this.freshness.markFresh(follower.lastCallAt)
    }
    if (topic === AnnouncedTopic.Servers || table.changed > from) {
      this.notifyPeers(update)
    }
  }

  private notifyPeers (update: ReadNotice['newRecords']): void {
    const { clock, notify } = this.options
    const { operators, servers } = this.followed
    notify({
      isFresh: !servers.follower.isFailing && this.freshness.freshAt + FRESH_TOLERANCE_MS > clock.now(),
      isWatching: this.hasStore && operators.follower.isAnswered && this.plans.isWatching,
      positions: { [AnnouncedTopic.Operators]: positionOf(operators), [AnnouncedTopic.Servers]: positionOf(servers) },
      newRecords: update
    })
  }

  /** Applies an update of another instance. */
  private applyUpdate (topic: AnnouncedTopic, update: RecordUpdate): void {
    const followed = this.followed[topic]
    const { table, follower } = followed
    this.recordEra(topic, update.position)
    if (table.applyUpdate(update)) {
      this.recordChange(topic)
      follower.skipTo(update.position)
      followed.announcedEnd = table.changed
    }
  }

  /** Called before the end up to which changes were announced is updated. */
  private recordChange (topic: AnnouncedTopic): void {
    const { table, announcedEnd } = this.followed[topic]
    if (topic === AnnouncedTopic.Operators && table.changed > announcedEnd) {
      this.plans.recordOperatorsChange()
    }
  }

  /** Compares the position of another instance with this one's and fetches what is missing. */
  private handlePeerPosition (topic: AnnouncedTopic, { position, changed }: ReadPosition, address: string, freshAt: number): void {
    const { table, follower } = this.followed[topic]
    if (!table.isComplete) {
      return
    }
    if (table.hasResurrectedKeys && !follower.isFailing && this.options.clock.now() < this.resurrectedKeysUntil) {
      follower.readNow()
      return
    }
    if (table.position >= changed) {
      this.applyUpdate(topic, { from: table.position, records: [], position, keys: undefined })
      if (topic === AnnouncedTopic.Servers) {
        this.freshness.markFresh(freshAt)
      }
      return
    }
    const isLaterEra = eraOf(position) > eraOf(table.position)
    if (follower.isFailing || this.servers.follower.isFailing || (topic === AnnouncedTopic.Servers && !isLaterEra)) {
      this.peerFetcher.fetchRecords(address, topic, table.position, freshAt)
    } else if (!follower.isReading) {
      // The store's connection is faster than an instance's, and a configuration may be large.
      follower.readNow()
    } else {
      this.readAgainIfBehind(topic, changed)
    }
  }

  /** The store may hold this instance's call although it has answered others. */
  private readAgainIfBehind (topic: AnnouncedTopic, changed: number): void {
    const { clock, configurationBoundMs } = this.options
    const followed = this.followed[topic]
    const { table, follower } = followed
    if (followed.isRecheckDue) {
      return
    }
    followed.isRecheckDue = true
    clock.at(clock.now() + configurationBoundMs * OWN_ANSWER_SHARE, () => {
      followed.isRecheckDue = false
      if (table.position < changed) {
        follower.readAgain()
      }
    })
  }

  /**
   * Queries a peer that is ahead. The servers' topic grows with every heartbeat, so a
   * small lag there is normal while the store is being read.
   */
  private fetchMissingRecords (topic: AnnouncedTopic, peers: readonly PeerProgress[]): void {
    const { table, follower } = this.followed[topic]
    const isStale = follower.isFailing && !this.plans.isFresh
    if (!table.isComplete || topic === AnnouncedTopic.Operators || isStale) {
      this.peerFetcher.fetchFromPeerAhead(topic, table, peers)
    }
  }

  private handlePeerAnswer (topic: AnnouncedTopic, answer: PeerAnswer): void {
    this.applyUpdate(topic, answer)
    const { freshAt } = answer
    const { table, follower } = this.followed[topic]
    if (topic === AnnouncedTopic.Servers && table.isComplete) {
      this.freshness.markFresh(freshAt)
      follower.reschedule()
    }
  }

  /** The next check is due even if this one fails. */
  private check (): void {
    const { clock, relayLog } = this.options
    this.cancelCheck = clock.at(clock.now() + CHECK_INTERVAL_MS, () => this.check())
    const peers = this.options.peers()
    this.advanceEra(Math.max(this.options.log.era, ...peers.map(({ positions }) => eraOf(positions?.servers ?? 0))))
    const suspendedMs = this.suspensionDetector.measureSuspendedMs(CHECK_INTERVAL_MS)
    if (suspendedMs > 0) {
      relayLog.trouble('This machine stood still; what is known is read again.', { stoodMs: Math.round(suspendedMs) })
      this.freshness.invalidate()
      topics.forEach(topic => this.followed[topic].follower.readNow())
    }
    // Without recent notices of other instances, a failing store is called sooner.
    topics.map(topic => this.followed[topic].follower).filter(({ isFailing }) => isFailing).forEach(follower => follower.reschedule())
    topics.forEach(topic => this.fetchMissingRecords(topic, peers))
    this.peerFetcher.fetchNewerRouting(this.followed[AnnouncedTopic.Operators].table.position, this.options.revision(), peers)
  }
}

function positionOf ({ table }: FollowedTopic): ReadPosition {
  return { position: table.position, changed: table.changed }
}
