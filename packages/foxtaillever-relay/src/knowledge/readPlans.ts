/** Decides when this instance reads each topic of the platform's store: few instances read at a time and notify the others. */
import type { Clock } from 'foxtaillever-core'
import { nextReadAt, nextWatchAt, rankReader, type Reader, type ReaderRank } from 'foxtaillever-policy/relay/readSchedule'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { FreshnessTracker } from './freshnessTracker.js'
import type { TopicFollower, TopicFollowerOptions } from './topicFollower.js'

/** How long the store may hold a call for operators' records, which are rare, milliseconds; it bounds how long a dead connection goes unnoticed. */
const OPERATORS_WAIT_MS = 2500

/** Without a read, by this instance or announced by another, for this long, other instances are queried, milliseconds. */
const STALE_MS = 1600

export type ReadPlan = Pick<TopicFollowerOptions, 'waitMs' | 'dueAt' | 'notBefore' | 'onAnswered'>

export interface ReadPlansOptions {
  readonly clock: Clock
  readonly freshness: FreshnessTracker
  /** This instance as a reader of the store. */
  readonly self: Reader
  /** Other instances that the store answers. */
  readonly readers: () => readonly Reader[]
  /** Follower of the servers' topic. */
  readonly servers: () => TopicFollower
}

export class ReadPlans {
  private constructor (private readonly options: ReadPlansOptions) {}

  static create (options: ReadPlansOptions): ReadPlans {
    return new ReadPlans(options)
  }

  of (topic: AnnouncedTopic): ReadPlan {
    const plans: Readonly<Record<AnnouncedTopic, () => ReadPlan>> = {
      [AnnouncedTopic.Operators]: () => this.planOperators(),
      [AnnouncedTopic.Servers]: () => this.planServers()
    }
    return plans[topic]()
  }

  /** Whether this instance should wait at the store for operators' changes; the store may be unreachable. */
  get isWatching (): boolean {
    return this.watchAt() <= this.options.clock.now()
  }

  /** Whether the servers' entries are at most STALE_MS old. */
  get isFresh (): boolean {
    return this.options.freshness.freshAt + STALE_MS > this.options.clock.now()
  }

  /** Operators' records must arrive at once, so the first instances of each failure domain wait for them at the store. */
  private planOperators (): ReadPlan {
    return {
      waitMs: () => this.isWatching ? OPERATORS_WAIT_MS : 0,
      dueAt: () => this.watchAt(),
      // The servers' topic shows whether the store answers again; calls for both topics would cost twice.
      notBefore: () => this.options.servers().isFailing ? Infinity : 0,
      onAnswered: () => {}
    }
  }

  private planServers (): ReadPlan {
    const { clock, freshness, servers } = this.options
    return {
      waitMs: () => 0,
      dueAt: () => nextReadAt(freshness.freshAt, this.rankAmongReaders()),
      notBefore: () => 0,
      onAnswered: () => freshness.recordStoreAnswer(clock.now(), servers().isFailing)
    }
  }

  private rankAmongReaders (): ReaderRank {
    const { self, readers } = this.options
    return rankReader(self, readers())
  }

  private watchAt (): number {
    return nextWatchAt(this.options.freshness.watchedAt, this.rankAmongReaders())
  }
}
