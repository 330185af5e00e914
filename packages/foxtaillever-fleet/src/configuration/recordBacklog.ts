/**
 * Records that stand behind a gap. When the log's first kept offset lies above
 * what an instance has folded, the records between are lost to it, and folding
 * on would accept changes that every other instance refused. They wait here
 * until a snapshot, or a peer's copy, covers the gap.
 */
import { RecordKind, type LogRecord } from 'foxtaillever-core'

/** Kinds that the fold of the configuration looks at. */
const foldedKinds: ReadonlySet<RecordKind> = new Set([RecordKind.Configuration, RecordKind.Snapshot])

export class RecordBacklog {
  private records: LogRecord[] = []
  private from = 0
  private last = 0

  private constructor () {}

  static create (): RecordBacklog {
    return new RecordBacklog()
  }

  isEmpty (): boolean {
    return this.from === 0
  }

  /** Starts a run at the first offset still kept, before any record of it is read. */
  startAt (first: number): void {
    if (first > this.last + 1) {
      this.records = []
      this.from = first
      this.last = first - 1
    }
  }

  /** Whether the record continues the run without a second gap. */
  private isNext (record: LogRecord): boolean {
    return record.offset === this.last + 1
  }

  add (record: LogRecord): void {
    if (!this.isEmpty() && record.offset <= this.last) {
      return
    }
    if (this.isEmpty() || !this.isNext(record)) {
      this.records = []
      this.from = record.offset
    }
    this.last = record.offset
    if (foldedKinds.has(record.kind)) {
      this.records.push(record)
    }
  }

  /** Whether nothing is missing between a copy at this offset and the records here. */
  joins (offset: number): boolean {
    return !this.isEmpty() && offset >= this.from - 1
  }

  /** Offset of the last record in the run. */
  lastOffset (): number {
    return this.last
  }

  /** Takes out the records above the offset; the backlog is empty afterwards. */
  takeAbove (offset: number): readonly LogRecord[] {
    const above = this.records.filter(record => record.offset > offset)
    this.records = []
    this.from = 0
    this.last = 0
    return above
  }
}
