/**
 * The platform's append-only log, as this system uses it. Records are opaque to
 * the platform; offsets start at 1 and rise by one. Reading below the first
 * kept offset is answered with the first one.
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

/** A record as its writer makes it. */
export interface LogEntry {
  /** Drawn by the writer, so that it finds its own record when an answer is lost. */
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
  /** The first offset still kept. */
  readonly first: number
  /** The offset that the next append gets. */
  readonly next: number
  /** The platform's clock, milliseconds of Unix time. */
  readonly now: number
}

/** The narrow interface to the log; the left side of an append may be MayHaveRun. */
export interface Log {
  append: (entry: LogEntry) => Promise<Either<Failure, number>>
  /** Records from the offset on; waits for new ones until the deadline. */
  read: (from: number, deadline: number) => Promise<Either<Failure, LogPage>>
}
