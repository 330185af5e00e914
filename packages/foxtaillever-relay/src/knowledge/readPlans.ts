/** When this instance reads each topic of the platform's store: few read at a time and tell the others. */
import type { Clock } from 'foxtaillever-core'
import { nextReadAt, nextWatchAt, rankReader, type Reader, type ReaderRank } from 'foxtaillever-policy/relay/readSchedule'
import { ToldTopic } from '../peers/toldTopic.js'
import type { Freshness } from './freshness.js'
import type { TopicFollower, TopicFollowerOptions } from './topicFollower.js'

/** How long the store may hold a call for operators' records, which are rare, milliseconds: a silent connection shows by then. */
const OPERATORS_WAIT_MS = 2500

/** Without a reading, here or told, for this long, others are asked, milliseconds. */
const STALE_MS = 1600

export type ReadPlan = Pick<TopicFollowerOptions, 'waitMs' | 'dueAt' | 'notBefore' | 'onAnswered'>

export interface ReadPlansOptions {
  readonly clock: Clock
  readonly freshness: Freshness
  /** This instance among those that read. */
  readonly self: Reader
  /** The others that the store answers. */
  readonly readers: () => readonly Reader[]
  /** Who reads the servers' entries here. */
  readonly servers: () => TopicFollower
}

export class ReadPlans {
  private constructor (private readonly options: ReadPlansOptions) {}

  static create (options: ReadPlansOptions): ReadPlans {
    return new ReadPlans(options)
  }

  of (topic: ToldTopic): ReadPlan {
    const plans: Readonly<Record<ToldTopic, () => ReadPlan>> = {
      [ToldTopic.Operators]: () => this.planOperators(),
      [ToldTopic.Servers]: () => this.planServers()
    }
    return plans[topic]()
  }

  /** This instance waits at the store for operators' changes, as far as it is reached. */
  get isWatching (): boolean {
    return this.watchAt() <= this.options.clock.now()
  }

  /** The servers' entries are known as of a moment ago. */
  get isFresh (): boolean {
    return this.options.freshness.freshAt + STALE_MS > this.options.clock.now()
  }

  /** Operators' records must be known at once, so the first of each failure domain wait for them at the store. */
  private planOperators (): ReadPlan {
    return {
      waitMs: () => this.isWatching ? OPERATORS_WAIT_MS : 0,
      dueAt: () => this.watchAt(),
      // One topic shows whether the store answers again; to call for both would cost twice.
      notBefore: () => this.options.servers().isFailing ? Infinity : 0,
      onAnswered: () => {}
    }
  }

  private planServers (): ReadPlan {
    const { clock, freshness, servers } = this.options
    return {
      waitMs: () => 0,
      dueAt: () => nextReadAt(freshness.freshAt, this.place()),
      notBefore: () => 0,
      onAnswered: () => freshness.noteAnswer(clock.now(), servers().isFailing)
    }
  }

  private place (): ReaderRank {
    const { self, readers } = this.options
    return rankReader(self, readers())
  }

  private watchAt (): number {
    return nextWatchAt(this.options.freshness.watchedAt, this.place())
  }
}
