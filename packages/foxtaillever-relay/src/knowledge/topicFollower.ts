/**
 * Follows one topic of the platform's store: first the newest record of each
 * key, then what is appended. Calls are priced and limited for all instances
 * together, so it reads only when that is due, or waits at the store, and asks
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
  /** When the topic is to be read next while the store answers, milliseconds of Unix time. */
  readonly dueAt: () => number
  /** No call is made before, whether the last one failed or not, milliseconds of Unix time. */
  readonly notBefore: () => number
  /** Others tell what the store holds, so that a store that does not answer here is asked less often. */
  readonly isTold: () => boolean
  /** The store has answered; called before the records of the answer. */
  readonly onAnswered: () => void
  readonly onRecord: (record: KeyedRecord) => void
  /** The same for the newest record of a key, found by a reading of the whole topic. */
  readonly onListed: (record: KeyedRecord) => void
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

/** Pause while others tell what the store holds, milliseconds: only whether it answers here again is asked. */
const TOLD_PAUSE_MS = 2000

/** Part of a pause that is drawn, so that instances whose calls failed together do not call together again. */
const PAUSE_SPREAD = 0.15

/** How long the store may take until it begins to answer with a page of the whole topic, milliseconds; doubled after each failure. */
const FIRST_PAGE_MS = 700

/** All instances may read whole at the same time, and the store's rate is shared. */
const LONGEST_PAGE_MS = 2800

/** Between two calls, milliseconds, should the store not hold them as asked. */
const LEAST_PAUSE_MS = 20

/** Between two readings anew that are due to another's word on the store's era, milliseconds, should the store not be there yet. */
const ENTER_PAUSE_MS = 1000

/** What is due much later is looked at again after this, milliseconds. */
const LONGEST_SLEEP_MS = 10_000

export class TopicFollower {
  /** Offset of the next record; undefined before the first whole reading. */
  private next: number | undefined
  private failures = 0
  private pauseFactor = 1
  private isRunning = false
  private isWanted = false
  private wake = (): void => {}
  /** Gives up the call under way, whose answer no longer counts. */
  private interrupt = (): void => {}
  private enteredAt = -Infinity
  /** When the last call was sent, milliseconds of Unix time. */
  triedAt = -Infinity
  /** A call is under way. */
  isReading = false

  private constructor (private readonly options: TopicFollowerOptions) {}

  static create (options: TopicFollowerOptions): TopicFollower {
    return new TopicFollower(options)
  }

  /** The last call failed. */
  get isFailing (): boolean {
    return this.failures > 0
  }

  /** The store has answered, and answered the last call. */
  get isAnswered (): boolean {
    return this.next !== undefined && this.failures === 0
  }

  start (): void {
    this.isRunning = true
    this.run()
  }

  stop (): void {
    this.isRunning = false
    this.wake()
  }

  /** Whoever told records up to there saved a reading. */
  skipTo (offset: number): void {
    if (this.next !== undefined && offset > this.next) {
      this.next = offset
    }
  }

  /** The store is in a later era, by another's word: what is known of the topic is read anew, without waiting for a call under way. */
  enter (era: number): void {
    const now = this.options.clock.now()
    if (this.next !== undefined && eraOf(this.next) < era && now >= this.enteredAt + ENTER_PAUSE_MS) {
      this.enteredAt = now
      this.next = undefined
      this.interrupt()
      this.wake()
    }
  }

  /** What is due may have changed. */
  reconsider (): void {
    this.wake()
  }

  /** Reads as soon as no call is under way. */
  readNow (): void {
    this.isWanted = true
    this.wake()
  }

  private async run (): Promise<void> {
    const { clock } = this.options
    while (this.isRunning) {
      const due = this.nextDueAt()
      if (due > clock.now()) {
        await this.sleepUntil(Math.min(due, clock.now() + LONGEST_SLEEP_MS))
        continue
      }
      this.isWanted = false
      this.triedAt = clock.now()
      this.isReading = true
      const failure = this.next === undefined ? await this.readWhole() : await this.readOn(this.next)
      this.isReading = false
      if (failure) {
        this.noteFailure(failure)
      }
    }
  }

  private nextDueAt (): number {
    const { dueAt, notBefore, isTold } = this.options
    if (this.failures > 0) {
      const pause = isTold() ? TOLD_PAUSE_MS : Math.min(FIRST_PAUSE_MS * 2 ** (this.failures - 1), LONGEST_PAUSE_MS)
      return Math.max(notBefore(), this.triedAt + pause * this.pauseFactor)
    }
    const isDue = this.next === undefined || this.isWanted
    return Math.max(notBefore(), this.triedAt + LEAST_PAUSE_MS, isDue ? 0 : dueAt())
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

  private noteFailure (failure: Failure): void {
    this.failures += 1
    this.pauseFactor = 1 - PAUSE_SPREAD * this.options.random.next()
    if (this.failures === 1) {
      this.options.onLost(failure)
    }
  }

  /** Before the records of the answer are taken in: they are judged by when the store came back. */
  private noteAnswer (): void {
    const { onAnswered, onRegained } = this.options
    onAnswered()
    if (this.failures > 0) {
      this.failures = 0
      onRegained()
    }
  }

  /** Pages are no snapshot: what changes meanwhile is read again from the first page's end. */
  private async readWhole (): Promise<Failure | undefined> {
    const { log, topic, onListed, onWhole } = this.options
    const answerMs = Math.min(FIRST_PAGE_MS * 2 ** this.failures, LONGEST_PAGE_MS)
    const keys = new Set<string>()
    let after = ''
    let end: number | undefined
    for (;;) {
      const page = await log.newest(topic, after, answerMs)
      if (page.isLeft()) {
        return page.extract() as Failure
      }
      this.noteAnswer()
      const { records, hasMore, end: pageEnd } = page.unsafeCoerce()
      end ??= pageEnd
      for (const record of records) {
        keys.add(record.key)
        onListed(record)
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
    const interrupted = new Promise<undefined>(resolve => { this.interrupt = () => resolve(undefined) })
    const page = await Promise.race([log.read(topic, from, waitMs()), interrupted])
    return page?.caseOf({
      Left: failure => failure,
      Right: ({ records, next, isGap }) => {
        this.noteAnswer()
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
