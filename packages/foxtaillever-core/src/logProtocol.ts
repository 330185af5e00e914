/**
 * The platform's append-only log, as this system uses it. Records are opaque to
 * the platform; offsets start at 1 and rise by one. A read below the first
 * retained offset starts at that offset.
 */
import type { Either } from 'purify-ts'
import type { Failure } from './verdict.js'

export enum RecordKind {
  Configuration = 'configuration',
  Snapshot = 'snapshot',
  Claims = 'claims',
  Outcomes = 'outcomes',
  Lease = 'lease',
  Order = 'order'
}

/** A record as its writer creates it. */
export interface LogEntry {
  /** Drawn by the writer, so that it finds its own record when the answer to an append is lost. */
  readonly id: string
  readonly kind: RecordKind
  /** Writer's clock, milliseconds of Unix time; never used to order records. */
  readonly writtenAt: number
  readonly body: unknown
}

export interface LogRecord extends LogEntry {
  readonly offset: number
  /** The platform's clock at the append, milliseconds of Unix time. */
  readonly appendedAt: number
}

export interface LogPage {
  readonly records: readonly LogRecord[]
  /** The first retained offset. */
  readonly first: number
  /** The offset that the next append gets. */
  readonly next: number
  /** The platform's clock, milliseconds of Unix time. */
  readonly now: number
}

/** The narrow interface to the log; a failed append may have verdict MayHaveRun. */
export interface Log {
  append: (entry: LogEntry) => Promise<Either<Failure, number>>
  /** Reads records from the offset on; waits for new ones until the deadline. */
  read: (from: number, deadline: number) => Promise<Either<Failure, LogPage>>
}
