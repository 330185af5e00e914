/**
 * Interface to a topic of the platform's store whose offsets are fencing numbers.
 * Offsets are store positions, which include the era, so they keep rising after the
 * store is restored.
 */
import type { Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'

/** Result of an append at an expected offset. */
export interface FenceAppend {
  readonly isAppended: boolean
  /** Offset of the next record. */
  readonly end: number
}

export interface FenceLog {
  /** Appends the record only if the topic ends at that offset, in the era of that offset. */
  readonly append: (topic: string, at: number, record: Buffer) => Promise<Either<Failure, FenceAppend>>
  /** Reads the record at the offset; undefined if it is no longer kept. */
  readonly readAt: (topic: string, offset: number) => Promise<Either<Failure, Buffer | undefined>>
}
