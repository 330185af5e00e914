/**
 * The narrow interface to topics of the platform's store in which the newest
 * record of each key is kept. What it calls offsets are positions, which
 * `storePosition` makes of the store's era and its offset.
 */
import type { Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'

export interface KeyedRecord {
  readonly key: string
  /** Undefined when the key was removed. */
  readonly value: Buffer | undefined
  readonly offset: number
}

export interface NewestPage {
  readonly records: readonly KeyedRecord[]
  readonly hasMore: boolean
  /** Offset that the next record will have. */
  readonly end: number
}

/** Records from an offset on, or word that they were deleted or that the store is in another era. */
export interface RecordPage {
  readonly records: readonly KeyedRecord[]
  readonly next: number
  /** What stands between the offset asked for and the topic's end is not known by this answer. */
  readonly isGap: boolean
}

export interface KeyedLog {
  /** Rises each time the store was restored from an older copy, and gives offsets out again; the highest that an answer named, 0 before. */
  readonly era: number
  /**
   * @param after key after which the page begins; empty for the first.
   * @param answerMs how long the store may take until it begins to answer.
   */
  readonly newest: (topic: string, after: string, answerMs: number) => Promise<Either<Failure, NewestPage>>
  /** @param waitMs how long the store may hold the call until there is a record. */
  readonly read: (topic: string, from: number, waitMs: number) => Promise<Either<Failure, RecordPage>>
}
