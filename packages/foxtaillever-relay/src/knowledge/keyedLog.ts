/**
 * Interface to topics of the platform's store that keep the newest record of each
 * key. Its offsets are positions, which `storePosition` composes of the store's era
 * and the offset in the store.
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

/** Records from an offset on, or a gap if they were deleted or the store is in another era. */
export interface RecordPage {
  readonly records: readonly KeyedRecord[]
  readonly next: number
  /** The answer does not have all records between the requested offset and the topic's end. */
  readonly isGap: boolean
}

export interface KeyedLog {
  /** The highest era in any answer, 0 before the first. It rises each time the store is restored from a backup, after which the store assigns offsets again. */
  readonly era: number
  /**
   * @param after key after which the page begins; empty for the first.
   * @param answerMs how long the store may take until it begins to answer.
   */
  readonly newest: (topic: string, after: string, answerMs: number) => Promise<Either<Failure, NewestPage>>
  /** @param waitMs how long the store may hold the call until there is a record. */
  readonly read: (topic: string, from: number, waitMs: number) => Promise<Either<Failure, RecordPage>>
}
