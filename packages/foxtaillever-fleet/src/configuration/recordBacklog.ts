/**
 * Records read after a gap. When the first offset that the log retains is above the
 * next one that an instance has to fold, the records between are lost to the
 * instance. If it folded the later records, it could accept changes that all other
 * instances refused. Later records therefore wait here until a snapshot or a peer's
 * copy covers the gap.
 */
import { RecordKind, type LogRecord } from 'foxtaillever-core'

/** Kinds of records that the fold of the configuration reads. */
const foldedKinds: ReadonlySet<RecordKind> = new Set([RecordKind.Configuration, RecordKind.Snapshot])

export class RecordBacklog {
  private records: LogRecord[] = []
  private firstOffset = 0
  private newestOffset = 0

  private constructor () {}

  static create (): RecordBacklog {
    return new RecordBacklog()
  }

  isEmpty (): boolean {
    return this.firstOffset === 0
  }

  /** Starts a run at the first retained offset, before any record of the run is read. */
  startRunAt (first: number): void {
    if (first > this.newestOffset + 1) {
      this.records = []
      this.firstOffset = first
      this.newestOffset = first - 1
    }
  }

  /** Whether the record continues the run without a second gap. */
  private isNext (record: LogRecord): boolean {
    return record.offset === this.newestOffset + 1
  }

  add (record: LogRecord): void {
    if (!this.isEmpty() && record.offset <= this.newestOffset) {
      return
    }
    if (this.isEmpty() || !this.isNext(record)) {
      this.records = []
      this.firstOffset = record.offset
    }
    this.newestOffset = record.offset
    if (foldedKinds.has(record.kind)) {
      this.records.push(record)
    }
  }

  /** Whether no record is missing between a copy at this offset and the records here. */
  connectsTo (offset: number): boolean {
    return !this.isEmpty() && offset >= this.firstOffset - 1
  }

  /** Offset of the last record in the run. */
  lastOffset (): number {
    return this.newestOffset
  }

  /** Empties the backlog and returns its records above the offset. */
  drainAbove (offset: number): readonly LogRecord[] {
    const above = this.records.filter(record => record.offset > offset)
    this.records = []
    this.firstOffset = 0
    this.newestOffset = 0
    return above
  }
}
