/**
 * What the platform's store holds, as this instance knows it: what operators
 * wrote and the backend servers' entries. It is read from the store, and from
 * another instance while the store does not answer here or another is ahead.
 */
import type { Clock, Random } from 'foxtaillever-core'
import type { PeerLink, ToldRecords } from '../peers/peerLink.js'
import { ToldTopic } from '../peers/peerLink.js'
import type { Positions } from '../peers/peerMessage.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import type { KeyedLog, KeyedRecord } from './keyedLog.js'
import { RecordTable } from './recordTable.js'
import { TopicFollower } from './topicFollower.js'

/** Configurations are rare, so the store holds the call until there is one, milliseconds. */
const OPERATORS_WAIT_MS = 2500

/** Between two reads of the servers' entries, milliseconds: well within the bound on new work for one that leaves. */
const SERVERS_PACE_MS = 700

/** A store that has not answered for this long does not answer, milliseconds. */
const DARK_MS = 1500

/** Between two looks whether another instance is ahead, milliseconds. */
const LOOK_MS = 200

/** An instance that may be asked, and how far it is; unknown for one that was never heard. */
export interface KnowingPeer {
  readonly address: string
  readonly positions: Positions | undefined
}

export interface KnowledgeOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: KeyedLog
  /** Names of the topics in the store. */
  readonly topics: Readonly<Record<ToldTopic, string>>
  readonly relayLog: RelayLog
  readonly link: () => PeerLink
  readonly peers: () => readonly KnowingPeer[]
  readonly onRecord: Readonly<Record<ToldTopic, (record: KeyedRecord) => void>>
}

interface Followed {
  readonly table: RecordTable
  readonly follower: TopicFollower
  isAsking: boolean
}

export class Knowledge {
  private readonly followed: Readonly<Record<ToldTopic, Followed>>
  private cancelLook = (): void => {}

  private constructor (private readonly options: KnowledgeOptions) {
    this.followed = {
      [ToldTopic.Operators]: this.follow(ToldTopic.Operators, OPERATORS_WAIT_MS, 0),
      [ToldTopic.Servers]: this.follow(ToldTopic.Servers, 0, SERVERS_PACE_MS)
    }
  }

  static create (options: KnowledgeOptions): Knowledge {
    return new Knowledge(options)
  }

  start (): void {
    Object.values(this.followed).forEach(({ follower }) => follower.start())
    this.look()
  }

  stop (): void {
    this.cancelLook()
    Object.values(this.followed).forEach(({ follower }) => follower.stop())
  }

  /** Whether both topics are known whole, from wherever. */
  get isWhole (): boolean {
    return Object.values(this.followed).every(({ table }) => table.isWhole)
  }

  /** Whether the store answers this instance. */
  get hasStore (): boolean {
    return this.isAnswered(this.followed[ToldTopic.Servers])
  }

  get positions (): Positions {
    const { operators, servers } = this.followed
    return { operators: operators.table.position, servers: servers.table.position }
  }

  /** What this instance knows of a topic from an offset on. */
  tell (topic: ToldTopic, from: number): ToldRecords {
    const { table } = this.followed[topic]
    return { records: table.since(from), position: table.position }
  }

  private follow (topic: ToldTopic, waitMs: number, paceMs: number): Followed {
    const { clock, log, topics, relayLog, onRecord } = this.options
    const table = RecordTable.create(onRecord[topic])
    const follower = TopicFollower.create({
      clock,
      log,
      topic: topics[topic],
      waitMs,
      paceMs,
      onRecord: record => table.take(record),
      onWhole: (keys, end) => table.retain(keys, end),
      onReached: offset => table.reach(offset),
      onLost: failure => relayLog.trouble('The platform\'s store does not answer.', { topic, reason: failure.message }),
      onRegained: () => relayLog.belief('The platform\'s store answers again.', { topic })
    })
    return { table, follower, isAsking: false }
  }

  private isAnswered ({ follower }: Followed): boolean {
    return follower.answeredAt + DARK_MS > this.options.clock.now()
  }

  private look (): void {
    const { clock } = this.options
    Object.values(ToldTopic).forEach(topic => this.lookAt(topic))
    this.cancelLook = clock.at(clock.now() + LOOK_MS, () => this.look())
  }

  /**
   * Asks a peer that is ahead. The servers' topic moves with every heartbeat, so
   * being a little behind there means nothing while the store answers.
   */
  private lookAt (topic: ToldTopic): void {
    const { random, peers } = this.options
    const followed = this.followed[topic]
    const { table } = followed
    const isNeeded = !table.isWhole || topic === ToldTopic.Operators || !this.isAnswered(followed)
    if (!isNeeded || followed.isAsking) {
      return
    }
    const ahead = peers().filter(({ positions }) => positions === undefined ? !table.isWhole : positions[topic] > table.position)
    const chosen = ahead[random.below(ahead.length)]
    if (chosen) {
      this.ask(chosen.address, topic)
    }
  }

  private async ask (address: string, topic: ToldTopic): Promise<void> {
    const { link, relayLog } = this.options
    const followed = this.followed[topic]
    followed.isAsking = true
    const from = followed.table.position
    const told = await link().ask(address, topic, from)
    followed.isAsking = false
    told.caseOf({
      Left: ({ message }) => relayLog.trouble('Another instance does not tell its records.', { peer: address, topic, reason: message }),
      Right: ({ records, position }) => {
        if (position > from) {
          records.forEach(record => followed.table.take(record))
          followed.table.reach(position)
          followed.follower.skipTo(position)
          relayLog.belief('Took records from another instance.', { peer: address, topic, from, position, records: records.length })
        }
      }
    })
  }
}
