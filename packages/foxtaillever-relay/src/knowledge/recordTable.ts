/**
 * The newest record of each key of one topic, whoever told it. Offsets are the
 * versions: a record that is not newer than what is known changes nothing, so
 * the store and other instances may tell the same things in any order.
 */
import type { KeyedRecord } from './keyedLog.js'

export class RecordTable {
  private readonly records = new Map<string, KeyedRecord>()
  /** Everything before this offset is known; undefined before the first whole reading. */
  private known: number | undefined

  private constructor (private readonly onNews: (record: KeyedRecord) => void) {}

  static create (onNews: (record: KeyedRecord) => void): RecordTable {
    return new RecordTable(onNews)
  }

  get isWhole (): boolean {
    return this.known !== undefined
  }

  /** Everything before this offset is known. */
  get position (): number {
    return this.known ?? 0
  }

  take (record: KeyedRecord): void {
    const { key, offset } = record
    if (offset > (this.records.get(key)?.offset ?? -1)) {
      this.records.set(key, record)
      this.onNews(record)
    }
  }

  /** Everything before the offset has been told. */
  reach (offset: number): void {
    this.known = Math.max(this.known ?? 0, offset)
  }

  /** All keys that there are before the offset: others were removed. */
  retain (keys: ReadonlySet<string>, end: number): void {
    for (const { key, value, offset } of [...this.records.values()]) {
      if (value !== undefined && !keys.has(key) && offset < end) {
        this.take({ key, value: undefined, offset: end - 1 })
      }
    }
    this.reach(end)
  }

  /** What one who knows everything before the offset lacks. */
  since (offset: number): KeyedRecord[] {
    return [...this.records.values()].filter(record => record.offset >= offset)
  }
}
