/**
 * Holds the newest record of each key of one topic, from the store or from other
 * instances. Offsets serve as versions: a record that is not newer than the known
 * one changes nothing, so records may arrive in any order. Of a record that
 * only repeats the known contents, as a heartbeat does, just the offset is kept.
 */
import type { KeyedRecord } from './keyedLog.js'
import { eraOf } from './storePosition.js'

/** Records that an instance sends to another that knows everything before the offset `from`. */
export interface RecordUpdate {
  readonly from: number
  readonly records: readonly KeyedRecord[]
  /** The update covers everything before this offset. */
  readonly position: number
  /** All existing keys; undefined if the records include every removal. */
  readonly keys: readonly string[] | undefined
}

/** What makes a record newer than another of its key. */
export enum RecordRanking {
  ByOffset = 'by-offset',
  /** Contents carry versions, which the receiver of the record compares. */
  ByContents = 'by-contents'
}

export class RecordTable {
  /** The last record of each key that changed its contents. */
  private readonly records = new Map<string, KeyedRecord>()
  /** Offset of the last record of each key. */
  private readonly lastOffsets = new Map<string, number>()
  /** Everything before this offset is known; undefined before the first complete read. */
  private known: number | undefined
  /** No record from this offset on changed any contents. */
  private changedEnd = 0
  /** Removals before this offset may be missing: a complete read returns existing keys only. */
  private removalsKnownFrom = 0

  /** Removed keys that a restored store lists again, until a later record of the key arrives. */
  private readonly resurrectedKeys = new Set<string>()

  private constructor (private readonly onRecord: (record: KeyedRecord) => boolean, private readonly ranking: RecordRanking) {}

  /** @param onRecord applies a record and returns whether it changed anything. */
  static create (onRecord: (record: KeyedRecord) => boolean, ranking = RecordRanking.ByOffset): RecordTable {
    return new RecordTable(onRecord, ranking)
  }

  get isComplete (): boolean {
    return this.known !== undefined
  }

  /** Everything before this offset is known. */
  get position (): number {
    return this.known ?? 0
  }

  /** An instance that knows everything before this offset is up to date with this table. */
  get changed (): number {
    return this.changedEnd
  }

  /** @returns false for a record that is older than the known one of its key. */
  applyRecord (record: KeyedRecord): boolean {
    const { key, offset } = record
    const lastOffset = this.lastOffsets.get(key) ?? -1
    if (offset <= lastOffset && this.ranking === RecordRanking.ByOffset) {
      return offset === lastOffset
    }
    const latest = Math.max(offset, lastOffset)
    this.lastOffsets.set(key, latest)
    this.resurrectedKeys.delete(key)
    // Instances that received the removal must also receive its reversal, even if the contents are the same as before it.
    const isRemovalUndone = record.value !== undefined && this.records.has(key) && this.records.get(key)?.value === undefined
    if (this.onRecord(record) || isRemovalUndone) {
      this.records.set(key, { ...record, offset: latest })
      this.changedEnd = Math.max(this.changedEnd, latest + 1)
    }
    return true
  }

  /**
   * Applies the newest record of a key from a complete read of the topic. The
   * backup that a store was restored from may still have a key that was removed in
   * an earlier era: only a later record shows that the key exists again.
   */
  applyListedRecord (record: KeyedRecord): boolean {
    const { key, offset } = record
    const known = this.records.get(key)
    const isResurrected = known !== undefined && known.value === undefined && eraOf(known.offset) < eraOf(offset)
    if (!isResurrected) {
      return this.applyRecord(record)
    }
    this.lastOffsets.set(key, Math.max(offset, this.lastOffsets.get(key) ?? offset))
    this.resurrectedKeys.add(key)
    return true
  }

  /** Whether keys await a later record, which other instances may not announce because it changes nothing for them. */
  get hasResurrectedKeys (): boolean {
    return this.resurrectedKeys.size > 0
  }

  /**
   * Applies an update of another instance. If that instance does not know every
   * removal since the update's start, the update lists all existing keys. An update
   * that was delayed in transit and ends no later than this table's position is
   * ignored: it may have keys that were removed since, and nothing would remove
   * them again.
   * @returns whether the update advanced this table.
   */
  applyUpdate ({ from, records, position, keys }: RecordUpdate): boolean {
    const isAhead = this.position >= from && position > this.position
    if (isAhead || this.ranking === RecordRanking.ByContents) {
      records.forEach(record => this.applyRecord(record))
    }
    if (!isAhead) {
      return false
    }
    if (keys) {
      this.retain(new Set(keys), position)
    } else {
      this.advanceTo(position)
    }
    return true
  }

  /** Records that everything before the offset is known. */
  advanceTo (offset: number): void {
    this.known = Math.max(this.known ?? 0, offset)
  }

  /** Removes all keys but those that exist before the offset `end`. */
  retain (keys: ReadonlySet<string>, end: number): void {
    for (const { key, value } of [...this.records.values()]) {
      if (value !== undefined && !keys.has(key) && (this.lastOffsets.get(key) ?? 0) < end) {
        this.applyRecord({ key, value: undefined, offset: end - 1 })
      }
    }
    this.removalsKnownFrom = Math.max(this.removalsKnownFrom, end)
    // An instance with an earlier position has to query: a removal may be the only change that it is missing.
    this.changedEnd = Math.max(this.changedEnd, end)
    this.advanceTo(end)
  }

  /** Changed records from the offset on, for an instance that knows everything before it. */
  recordsSince (offset: number): KeyedRecord[] {
    return [...this.records.values()].filter(record => record.offset >= offset)
  }

  /** Update for an instance that knows everything before the offset. */
  createUpdateSince (from: number): RecordUpdate {
    const keys = this.knowsRemovalsSince(from) ? undefined : this.keys
    return { from, records: this.recordsSince(from), position: this.position, keys }
  }

  /** Whether every removal from the offset on is among the records. */
  knowsRemovalsSince (offset: number): boolean {
    return offset >= this.removalsKnownFrom
  }

  private get keys (): string[] {
    return [...this.records.values()].flatMap(({ key, value }) => value === undefined ? [] : [key])
  }
}
