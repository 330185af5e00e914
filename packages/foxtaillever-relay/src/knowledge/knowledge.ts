/**
 * What the platform's store holds, as this instance knows it: what operators
 * wrote and the backend servers' entries. Few instances read it at a time and
 * tell the others; each reads for itself when it hears of no reading, and asks
 * another instance while the store does not answer it.
 */
import type { AnnouncedRecords } from '../peers/peerLink.js'
import type { Positions } from '../peers/peerMessage.js'
import { limitNewRecords, type ReadNotice, type ReadPosition } from '../peers/readNotice.js'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import { Freshness } from './freshness.js'
import type { KnowledgeOptions } from './knowledgeOptions.js'
import { PeerAsking, type KnowingPeer, type PeerAnswer } from './peerAsking.js'
import { ReadingLog } from './readingLog.js'
import { ReadPlans } from './readPlans.js'
import { RecordRanking, RecordTable, type ToldSince } from './recordTable.js'
import { eraOf } from './storePosition.js'
import { Suspension } from './suspension.js'
import { TopicFollower } from './topicFollower.js'

/** Between two looks whether another instance is ahead, milliseconds. */
const LOOK_MS = 200

/** A reading that ended this long ago is told as one of now, milliseconds. */
const JUST_NOW_MS = 50

/** A server that lives writes its entry several times in this, one that has left is removed again, milliseconds. */
const LEFTOVERS_MS = 5000

const topics = Object.values(AnnouncedTopic)

const rankings: Readonly<Record<AnnouncedTopic, RecordRanking>> = {
  [AnnouncedTopic.Operators]: RecordRanking.ByContents,
  [AnnouncedTopic.Servers]: RecordRanking.ByOffset
}

interface Followed {
  readonly table: RecordTable
  readonly follower: TopicFollower
  /** Changes before this offset were told to the others, or told by them. */
  toldTo: number
}

export class Knowledge {
  private readonly freshness = Freshness.create()
  private readonly plans: ReadPlans
  private readonly readings: ReadingLog
  private readonly suspension: Suspension
  private readonly followed: Readonly<Record<AnnouncedTopic, Followed>>
  private readonly asking: PeerAsking
  private cancelLook = (): void => {}
  /** Until then heartbeats of servers that a restored store lists are read here, milliseconds of Unix time. */
  private leftoversUntil = -Infinity
  /** The highest that is known of the store. */
  private era = 0

  private constructor (private readonly options: KnowledgeOptions) {
    this.plans = ReadPlans.create({ ...options, freshness: this.freshness, servers: () => this.servers.follower })
    this.readings = ReadingLog.create(options.relayLog)
    this.suspension = Suspension.create(options.clock, options.wallSeconds)
    this.asking = PeerAsking.create({ ...options, onAnswer: (topic, answer) => this.takeAnswer(topic, answer) })
    this.followed = {
      [AnnouncedTopic.Operators]: this.follow(AnnouncedTopic.Operators),
      [AnnouncedTopic.Servers]: this.follow(AnnouncedTopic.Servers)
    }
  }

  static create (options: KnowledgeOptions): Knowledge {
    return new Knowledge(options)
  }

  start (): void {
    topics.forEach(topic => this.followed[topic].follower.start())
    this.look()
  }

  stop (): void {
    this.cancelLook()
    topics.forEach(topic => this.followed[topic].follower.stop())
  }

  /** Whether both topics are known whole, from wherever. */
  get isWhole (): boolean {
    return topics.every(topic => this.followed[topic].table.isWhole)
  }

  /** Whether the store answers this instance, as far as it has called. */
  get hasStore (): boolean {
    return this.servers.follower.isAnswered
  }

  /** Rises each time the store was restored from an older copy. */
  get storeEra (): number {
    return Math.max(this.era, this.options.log.era)
  }

  /** Another call to the store failed: looks at once whether it answers. */
  doubt (): void {
    this.servers.follower.readNow()
  }

  /** Until then an entry that is missing may come back, milliseconds of Unix time: the store was down for everyone. */
  get settledAt (): number {
    return this.freshness.settledAt
  }

  get positions (): Positions {
    const { operators, servers } = this.followed
    return { operators: operators.table.position, servers: servers.table.position }
  }

  /** What this instance knows of a topic from an offset on. */
  tell (topic: AnnouncedTopic, from: number): AnnouncedRecords {
    return this.followed[topic].table.tellSince(from)
  }

  /** Another instance has read the store. */
  hear ({ address, isFresh, isWatching, positions, newRecords: news }: ReadNotice): void {
    const now = this.options.clock.now()
    this.freshness.noteWatch(address, isWatching, now)
    if (isFresh) {
      // Before its records are taken in: they are judged by when the store came back.
      this.freshness.noteAnswer(now, this.servers.follower.isFailing)
    }
    if (news) {
      this.takeTold(news.topic, { ...news, position: positions[news.topic].position, keys: undefined })
    }
    this.enterEra(Math.max(...topics.map(topic => eraOf(positions[topic].position))))
    topics.forEach(topic => this.hearPosition(topic, positions[topic], address, isFresh ? now : -Infinity))
    topics.forEach(topic => this.followed[topic].follower.reconsider())
  }

  private get servers (): Followed {
    return this.followed[AnnouncedTopic.Servers]
  }

  private follow (topic: AnnouncedTopic): Followed {
    const { clock, random, log, topics: names, relayLog, onRecord } = this.options
    const table = RecordTable.create(onRecord[topic], rankings[topic])
    const follower = TopicFollower.create({
      ...this.plans.of(topic),
      clock,
      random,
      log,
      topic: names[topic],
      isTold: () => this.plans.isFresh,
      onRecord: record => this.readings.noteRecord(topic, table.take(record)),
      onListed: record => this.readings.noteRecord(topic, table.takeListed(record)),
      onWhole: (keys, end) => {
        this.readings.whole({ topic, end, known: table.position }, keys.size)
        this.noteEra(topic, end)
        this.leftoversUntil = clock.now() + LEFTOVERS_MS
        this.noteRead(topic, end, () => table.retain(keys, end))
      },
      onReached: end => {
        this.readings.reached({ topic, end, known: table.position })
        this.noteRead(topic, end, () => table.reach(end))
      },
      onLost: failure => {
        relayLog.trouble('The platform\'s store does not answer.', { topic, reason: failure.message })
        this.notify(undefined)
      },
      onRegained: () => {
        relayLog.belief('The platform\'s store answers again.', { topic })
        topics.forEach(other => this.followed[other].follower.reconsider())
      }
    })
    return { table, follower, toldTo: 0 }
  }

  /** Before records of a later era are taken in: entries that these lack may be written again. */
  private noteEra (topic: AnnouncedTopic, position: number): void {
    const { table } = this.followed[topic]
    const era = eraOf(position)
    if (!table.isWhole) {
      this.era = Math.max(this.era, era)
    } else if (topic === AnnouncedTopic.Servers && era > eraOf(table.position)) {
      this.freshness.noteRestored(this.options.clock.now())
    }
  }

  /** Whoever learns that the store was restored from an older copy reads everything anew. */
  private enterEra (era: number): void {
    if (era > this.era) {
      this.options.relayLog.trouble('The platform\'s store was restored from an older copy.', { era, before: this.era })
      this.era = era
      this.options.onRestored()
    }
    topics.forEach(topic => this.followed[topic].follower.enter(era))
  }

  /** The store has told everything before an offset; the others are told in turn. */
  private noteRead (topic: AnnouncedTopic, offset: number, reach: () => void): void {
    const { table, follower } = this.followed[topic]
    const wasWhole = table.isWhole
    const from = this.followed[topic].toldTo
    reach()
    this.followed[topic].toldTo = table.changed
    const news = wasWhole && table.changed > from && table.knowsRemovalsSince(from) ? limitNewRecords({ topic, from, records: table.since(from) }) : undefined
    if (topic === AnnouncedTopic.Servers) {
      this.freshness.note(follower.triedAt)
    }
    if (topic === AnnouncedTopic.Servers || table.changed > from) {
      this.notify(news)
    }
  }

  private notify (news: ReadNotice['newRecords']): void {
    const { clock, notify } = this.options
    const { operators, servers } = this.followed
    notify({
      isFresh: !servers.follower.isFailing && this.freshness.freshAt + JUST_NOW_MS > clock.now(),
      isWatching: this.hasStore && operators.follower.isAnswered && this.plans.isWatching,
      positions: { [AnnouncedTopic.Operators]: positionOf(operators), [AnnouncedTopic.Servers]: positionOf(servers) },
      newRecords: news
    })
  }

  /** Records of another instance, for one who knows everything before an offset. */
  private takeTold (topic: AnnouncedTopic, told: ToldSince): void {
    const followed = this.followed[topic]
    const { table, follower } = followed
    this.noteEra(topic, told.position)
    if (table.takeTold(told)) {
      follower.skipTo(told.position)
      followed.toldTo = table.changed
    }
  }

  /** How far another instance is: nothing is lacking here, or it is fetched. */
  private hearPosition (topic: AnnouncedTopic, { position, changed }: ReadPosition, address: string, freshAt: number): void {
    const { table, follower } = this.followed[topic]
    if (!table.isWhole) {
      return
    }
    if (table.hasLeftovers && !follower.isFailing && this.options.clock.now() < this.leftoversUntil) {
      follower.readNow()
      return
    }
    if (table.position >= changed) {
      this.takeTold(topic, { from: table.position, records: [], position, keys: undefined })
      if (topic === AnnouncedTopic.Servers) {
        this.freshness.note(freshAt)
      }
      return
    }
    const isReadAnew = eraOf(position) > eraOf(table.position)
    if (follower.isFailing || this.servers.follower.isFailing || (topic === AnnouncedTopic.Servers && !isReadAnew)) {
      this.asking.ask(address, topic, table.position, freshAt)
    } else if (!follower.isReading) {
      // The store's connection is faster than an instance's, and a configuration may be large.
      follower.readNow()
    }
  }

  /**
   * Asks a peer that is ahead. The servers' topic moves with every heartbeat, so
   * being a little behind there means nothing while readings go on.
   */
  private askWhereLacking (topic: AnnouncedTopic, peers: readonly KnowingPeer[]): void {
    const { table, follower } = this.followed[topic]
    const isStale = follower.isFailing && !this.plans.isFresh
    if (!table.isWhole || topic === AnnouncedTopic.Operators || isStale) {
      this.asking.askAhead(topic, table, peers)
    }
  }

  private takeAnswer (topic: AnnouncedTopic, answer: PeerAnswer): void {
    this.takeTold(topic, answer)
    const { freshAt } = answer
    const { table, follower } = this.followed[topic]
    if (topic === AnnouncedTopic.Servers && table.isWhole) {
      this.freshness.note(freshAt)
      follower.reconsider()
    }
  }

  private look (): void {
    const { clock, relayLog } = this.options
    const peers = this.options.peers()
    this.enterEra(Math.max(this.options.log.era, ...peers.map(({ positions }) => eraOf(positions?.servers ?? 0))))
    const stoodMs = this.suspension.look(LOOK_MS)
    if (stoodMs > 0) {
      relayLog.trouble('This machine stood still; what is known is read again.', { stoodMs: Math.round(stoodMs) })
      this.freshness.distrust()
      topics.forEach(topic => this.followed[topic].follower.readNow())
    }
    // Once nobody tells any more, a store that did not answer is asked sooner.
    topics.map(topic => this.followed[topic].follower).filter(({ isFailing }) => isFailing).forEach(follower => follower.reconsider())
    topics.forEach(topic => this.askWhereLacking(topic, peers))
    this.asking.askForNewerRouting(this.followed[AnnouncedTopic.Operators].table.position, this.options.revision(), peers)
    this.cancelLook = clock.at(clock.now() + LOOK_MS, () => this.look())
  }
}

function positionOf ({ table }: Followed): ReadPosition {
  return { position: table.position, changed: table.changed }
}
