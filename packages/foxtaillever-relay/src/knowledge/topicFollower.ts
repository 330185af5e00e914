/**
 * Follows one topic of the platform's store: first the newest record of each
 * key, then what is appended. Calls are priced and limited for all instances
 * together, so it reads at a set pace or waits at the store, and asks less
 * often while the store does not answer.
 */
import { waitUntil, type Clock, type Failure } from 'foxtaillever-core'
import type { KeyedLog, KeyedRecord } from './keyedLog.js'

export interface TopicFollowerOptions {
  readonly clock: Clock
  readonly log: KeyedLog
  readonly topic: string
  /** How long the store may hold a call until there is a record, milliseconds; 0 reads at the pace. */
  readonly waitMs: number
  /** Between two reads, milliseconds. */
  readonly paceMs: number
  readonly onRecord: (record: KeyedRecord) => void
  /** All keys there are, read up to the offset. */
  readonly onWhole: (keys: ReadonlySet<string>, end: number) => void
  /** Everything before the offset has been read. */
  readonly onReached: (offset: number) => void
  readonly onLost: (failure: Failure) => void
  readonly onRegained: () => void
}

/** First pause after a call that failed, milliseconds; doubled with each further one. */
const FIRST_PAUSE_MS = 200

/** Longest pause, milliseconds: a store that is back is noticed well within the bounds on drains and configurations. */
const LONGEST_PAUSE_MS = 1200

export class TopicFollower {
  /** Offset of the next record; undefined before the first whole reading. */
  private next: number | undefined
  private failures = 0
  private isRunning = false
  /** When the store last answered, milliseconds of Unix time. */
  answeredAt = 0

  private constructor (private readonly options: TopicFollowerOptions) {}

  static create (options: TopicFollowerOptions): TopicFollower {
    return new TopicFollower(options)
  }

  /** Whether everything that lay in the topic has been read once. */
  get isSynced (): boolean {
    return this.next !== undefined
  }

  /** Up to where the topic is known. */
  get position (): number {
    return this.next ?? 0
  }

  start (): void {
    this.isRunning = true
    this.run()
  }

  stop (): void {
    this.isRunning = false
  }

  /** Whoever told records up to there saved a reading. */
  skipTo (offset: number): void {
    if (this.next !== undefined && offset > this.next) {
      this.next = offset
    }
  }

  private async run (): Promise<void> {
    const { clock, paceMs } = this.options
    while (this.isRunning) {
      const failure = this.next === undefined ? await this.readWhole() : await this.readOn(this.next)
      this.note(failure)
      const pause = failure ? Math.min(FIRST_PAUSE_MS * 2 ** (this.failures - 1), LONGEST_PAUSE_MS) : paceMs
      await waitUntil(clock, clock.now() + pause)
    }
  }

  private note (failure: Failure | undefined): void {
    if (failure) {
      this.failures += 1
      if (this.failures === 1) {
        this.options.onLost(failure)
      }
      return
    }
    if (this.failures > 0) {
      this.options.onRegained()
    }
    this.failures = 0
    this.answeredAt = this.options.clock.now()
  }

  /** Pages are no snapshot: what changes meanwhile is read again from the first page's end. */
  private async readWhole (): Promise<Failure | undefined> {
    const { log, topic, onRecord, onWhole } = this.options
    const keys = new Set<string>()
    let after = ''
    let end: number | undefined
    for (;;) {
      const page = await log.newest(topic, after)
      if (page.isLeft()) {
        return page.extract() as Failure
      }
      const { records, hasMore, end: pageEnd } = page.unsafeCoerce()
      end ??= pageEnd
      for (const record of records) {
        keys.add(record.key)
        onRecord(record)
        after = record.key
      }
      if (!hasMore || records.length === 0) {
        break
      }
    }
    this.next = end
    onWhole(keys, end)
    return undefined
  }

  private async readOn (from: number): Promise<Failure | undefined> {
    const { log, topic, waitMs, onRecord, onReached } = this.options
    const page = await log.read(topic, from, waitMs)
    return page.caseOf({
      Left: failure => failure,
      Right: ({ records, next, isGap }) => {
        if (isGap) {
          this.next = undefined
          return undefined
        }
        records.forEach(onRecord)
        this.next = Math.max(this.next ?? 0, next)
        onReached(this.next)
        return undefined
      }
    })
  }
}
