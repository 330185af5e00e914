/**
 * Follows one topic of the platform's store: reads the newest record of each key
 * first, then what is appended. Calls cost money and share one rate limit across all
 * instances, so it reads only when a read is due, or waits at the store, and calls
 * less often while the store does not answer.
 */
import type { Clock, Failure, Random } from 'foxtaillever-core'
import type { KeyedLog, KeyedRecord } from './keyedLog.js'
import { eraOf } from './storePosition.js'

export interface TopicFollowerOptions {
  readonly clock: Clock
  readonly random: Random
  readonly log: KeyedLog
  readonly topic: string
  /** How long the store may hold the next call until there is a record, milliseconds. */
  readonly waitMs: () => number
  /** When the next read is due while the store answers, milliseconds of Unix time. */
  readonly dueAt: () => number
  /** No call is made before this time, whether the last one failed or not, milliseconds of Unix time. */
  readonly notBefore: () => number
  /** Whether other instances announce the store's contents; a store that does not answer here is then called less often. */
  readonly hasPeerUpdates: () => boolean
  /** Called when the store has answered, before the records of the answer are applied. */
  readonly onAnswered: () => void
  readonly onRecord: (record: KeyedRecord) => void
  /** Called for the newest record of each key during a complete read. */
  readonly onListedRecord: (record: KeyedRecord) => void
  /** Called after a complete read with all existing keys and the offset up to which they were read. */
  readonly onCompleteRead: (keys: ReadonlySet<string>, end: number) => void
  /** Called when everything before the offset has been read. */
  readonly onAdvanced: (offset: number) => void
  readonly onUnreachable: (failure: Failure) => void
  readonly onRecovered: () => void
  /** Called after an unexpected error; reading goes on after a pause. */
  readonly onError: (error: unknown) => void
}

/** First pause after a call that failed, milliseconds; doubled with each further one. */
const INITIAL_PAUSE_MS = 200

/** Longest pause after a failed call, milliseconds: a recovered store is noticed well within the time limits for drains and configurations. */
const MAX_PAUSE_MS = 1200

/** Pause after a failed call while other instances announce the store's contents, milliseconds: a call only checks whether the store answers again. */
const PEER_UPDATES_PAUSE_MS = 2000

/** Random share of a pause, so that instances whose calls failed together do not call together again. */
const PAUSE_SPREAD = 0.15

/** How long the store may take to begin its answer to a page of a complete read, milliseconds; doubled after each failure. */
const INITIAL_PAGE_TIMEOUT_MS = 700

/** Longest page timeout, milliseconds: all instances may do a complete read at the same time, and share the store's rate limit. */
const MAX_PAGE_TIMEOUT_MS = 2800

/** Between two calls, milliseconds, in case the store does not hold them as requested. */
const MIN_PAUSE_MS = 20

/** Between two complete reads because of a later era that another instance reported, milliseconds, in case the store is not in that era yet. */
const ERA_READ_INTERVAL_MS = 1000

/** Longest sleep before the due time is computed again, milliseconds. */
const MAX_SLEEP_MS = 10_000

/** Pause after a number of consecutive failures, milliseconds. */
function pauseAfter (failures: number): number {
  return Math.min(INITIAL_PAUSE_MS * 2 ** (failures - 1), MAX_PAUSE_MS)
}

export class TopicFollower {
  /** Offset of the next record; undefined while a complete read is needed. */
  private next: number | undefined
  private failures = 0
  /** Unexpected errors since the last read without one. */
  private errors = 0
  private pauseFactor = 1
  private isRunning = false
  private isReadRequested = false
  private wake = (): void => {}
  /** Abandons the call in flight, whose answer is then ignored. */
  private interrupt = (): void => {}
  private eraReadAt = -Infinity
  /** When the last call was sent, milliseconds of Unix time. */
  lastCallAt = -Infinity
  /** A call is in flight. */
  isReading = false

  private constructor (private readonly options: TopicFollowerOptions) {}

  static create (options: TopicFollowerOptions): TopicFollower {
    return new TopicFollower(options)
  }

  /** The last call failed. */
  get isFailing (): boolean {
    return this.failures > 0
  }

  /** A complete read has succeeded, and so has the last call. */
  get isAnswered (): boolean {
    return this.next !== undefined && this.failures === 0 && this.errors === 0
  }

  start (): void {
    this.isRunning = true
    this.run()
  }

  stop (): void {
    this.isRunning = false
    this.wake()
  }

  /** Skips records before the offset, which another instance has sent. */
  skipTo (offset: number): void {
    if (this.next !== undefined && offset > this.next) {
      this.next = offset
    }
  }

  /** Starts a complete read if another instance reported a later era of the store, without waiting for a call in flight. */
  readEra (era: number): void {
    const now = this.options.clock.now()
    if (this.next !== undefined && eraOf(this.next) < era && now >= this.eraReadAt + ERA_READ_INTERVAL_MS) {
      this.eraReadAt = now
      this.next = undefined
      this.interrupt()
      this.wake()
    }
  }

  /** Computes again when the next read is due. */
  reschedule (): void {
    this.wake()
  }

  /** Reads as soon as no call is in flight. */
  readNow (): void {
    this.isReadRequested = true
    this.wake()
  }

  /** Abandons a call that the store holds, and reads what there is. */
  readAgain (): void {
    this.isReadRequested = true
    this.interrupt()
    this.wake()
  }

  private async run (): Promise<void> {
    const { clock, onError } = this.options
    while (this.isRunning) {
      try {
        await this.readWhenDue()
      } catch (error) {
        this.errors += 1
        onError(error)
        await this.sleepUntil(clock.now() + pauseAfter(this.errors))
      }
    }
  }

  private async readWhenDue (): Promise<void> {
    const { clock } = this.options
    const due = this.nextDueAt()
    if (due > clock.now()) {
      await this.sleepUntil(Math.min(due, clock.now() + MAX_SLEEP_MS))
      return
    }
    const waitMs = this.isReadRequested ? 0 : this.options.waitMs()
    this.isReadRequested = false
    this.lastCallAt = clock.now()
    const failure = await this.read(waitMs)
    this.errors = 0
    if (failure) {
      this.recordFailure(failure)
    }
  }

  private async read (waitMs: number): Promise<Failure | undefined> {
    this.isReading = true
    try {
      return this.next === undefined ? await this.readAll() : await this.readFrom(this.next, waitMs)
    } finally {
      this.isReading = false
    }
  }

  private nextDueAt (): number {
    const { dueAt, notBefore, hasPeerUpdates } = this.options
    if (this.failures > 0) {
      const pause = hasPeerUpdates() ? PEER_UPDATES_PAUSE_MS : pauseAfter(this.failures)
      return Math.max(notBefore(), this.lastCallAt + pause * this.pauseFactor)
    }
    const isDue = this.next === undefined || this.isReadRequested
    return Math.max(notBefore(), this.lastCallAt + MIN_PAUSE_MS, isDue ? 0 : dueAt())
  }

  private async sleepUntil (deadline: number): Promise<void> {
    await new Promise<void>(resolve => {
      const cancel = this.options.clock.at(deadline, resolve)
      this.wake = () => {
        cancel()
        resolve()
      }
    })
    this.wake = () => {}
  }

  private recordFailure (failure: Failure): void {
    this.failures += 1
    this.pauseFactor = 1 - PAUSE_SPREAD * this.options.random.next()
    if (this.failures === 1) {
      this.options.onUnreachable(failure)
    }
  }

  /** Called before the records of the answer are applied: whether a removal is deferred depends on when the store recovered. */
  private recordAnswer (): void {
    const { onAnswered, onRecovered } = this.options
    onAnswered()
    if (this.failures > 0) {
      this.failures = 0
      onRecovered()
    }
  }

  /** Pages do not form a snapshot: changes during the read are read afterwards, from the end offset of the first page. */
  private async readAll (): Promise<Failure | undefined> {
    const { log, topic, onListedRecord, onCompleteRead } = this.options
    const answerMs = Math.min(INITIAL_PAGE_TIMEOUT_MS * 2 ** this.failures, MAX_PAGE_TIMEOUT_MS)
    const keys = new Set<string>()
    let after = ''
    let end: number | undefined
    for (;;) {
      const page = await log.newest(topic, after, answerMs)
      if (page.isLeft()) {
        return page.extract() as Failure
      }
      this.recordAnswer()
      const { records, hasMore, end: pageEnd } = page.unsafeCoerce()
      end ??= pageEnd
      for (const record of records) {
        keys.add(record.key)
        onListedRecord(record)
        after = record.key
      }
      if (!hasMore || records.length === 0) {
        break
      }
    }
    this.next = end
    onCompleteRead(keys, end)
    return undefined
  }

  private async readFrom (from: number, waitMs: number): Promise<Failure | undefined> {
    const { log, topic, onRecord, onAdvanced } = this.options
    const interrupted = new Promise<undefined>(resolve => { this.interrupt = () => resolve(undefined) })
    const page = await Promise.race([log.read(topic, from, waitMs), interrupted])
    return page?.caseOf({
      Left: failure => failure,
      Right: ({ records, next, isGap }) => {
        this.recordAnswer()
        if (isGap) {
          this.next = undefined
          return undefined
        }
        records.forEach(onRecord)
        this.next = Math.max(this.next ?? 0, next)
        onAdvanced(this.next)
        return undefined
      }
    })
  }
}
