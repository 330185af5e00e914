/**
 * The narrow interface to a topic of the platform's store whose offsets are fencing
 * numbers. They are positions, so that they go on rising in a store that was restored.
 */
import type { Failure } from 'foxtaillever-core'
import type { Either } from 'purify-ts'

/** What became of an append at an expected offset. */
export interface FenceAppend {
  readonly isAppended: boolean
  /** Offset that the next record will have. */
  readonly end: number
}

export interface FenceLog {
  /** Appends the record only if the topic ends at that offset, in the era of that offset. */
  readonly append: (topic: string, at: number, record: Buffer) => Promise<Either<Failure, FenceAppend>>
  /** The record at the offset; undefined when it is not kept any more. */
  readonly readAt: (topic: string, offset: number) => Promise<Either<Failure, Buffer | undefined>>
}
