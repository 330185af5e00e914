/** Decides when this instance reads each topic of the platform's store: few instances read at a time and notify the others. */
import type { Clock } from 'foxtaillever-core'
import { nextReadAt, nextWatchAt, rankReader, watchCallMs, type Reader, type ReaderRank } from 'foxtaillever-policy/relay/readSchedule'
import { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { FreshnessTracker } from './freshnessTracker.js'
import type { TopicFollower, TopicFollowerOptions } from './topicFollower.js'

/** Without a read, by this instance or announced by another, for this long, other instances are queried, milliseconds. */
const STALE_MS = 1600

export type ReadPlan = Pick<TopicFollowerOptions, 'waitMs' | 'dueAt' | 'notBefore' | 'onAnswered'>

export interface ReadPlansOptions {
  readonly clock: Clock
  readonly freshness: FreshnessTracker
  /** Time within which a configuration must be in force, milliseconds. */
  readonly configurationBoundMs: number
  /** This instance as a reader of the store. */
  readonly self: Reader
  /** Other instances that the store answers. */
  readonly readers: () => readonly Reader[]
  /** Follower of the servers' topic. */
  readonly servers: () => TopicFollower
}

export class ReadPlans {
  /** Whether a call for operators' records began since the last change. */
  private hasWatchedSinceChange = false

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

  /** Operators have written something, which ends the calls of all instances that wait for it. */
  recordOperatorsChange (): void {
    this.hasWatchedSinceChange = false
  }

  /** Operators' records must arrive at once, so the first instances of each failure domain wait for them at the store. */
  private planOperators (): ReadPlan {
    return {
      waitMs: () => this.isWatching ? this.nextWatchMs() : 0,
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

  private nextWatchMs (): number {
    const isFirst = !this.hasWatchedSinceChange
    this.hasWatchedSinceChange = true
    return watchCallMs(this.options.configurationBoundMs, this.rankAmongReaders(), isFirst)
  }

  private rankAmongReaders (): ReaderRank {
    const { self, readers } = this.options
    return rankReader(self, readers())
  }

  private watchAt (): number {
    return nextWatchAt(this.options.freshness.watchedAt, this.rankAmongReaders())
  }
}
