/**
 * The newest record of each key of one topic, whoever told it. Offsets are the
 * versions: a record that is not newer than what is known changes nothing, so
 * the store and other instances may tell the same things in any order. Records
 * that only repeat what is known, as a heartbeat does, are counted and not kept.
 */
import type { KeyedRecord } from './keyedLog.js'
import { eraOf } from './storePosition.js'

/** What one instance tells another that knows everything before an offset. */
export interface ToldSince {
  readonly from: number
  readonly records: readonly KeyedRecord[]
  /** Everything before this offset is told. */
  readonly position: number
  /** All keys that there are; undefined where the records name every removal. */
  readonly keys: readonly string[] | undefined
}

/** What makes a record newer than another of its key. */
export enum RecordRanking {
  ByOffset = 'by-offset',
  /** Contents carry versions; whoever takes a record in decides. */
  ByContents = 'by-contents'
}

export class RecordTable {
  /** The last record of each key that said something new. */
  private readonly records = new Map<string, KeyedRecord>()
  /** Offset of the last record of each key. */
  private readonly seen = new Map<string, number>()
  /** Everything before this offset is known; undefined before the first whole reading. */
  private known: number | undefined
  /** No record from this offset on said anything new. */
  private changedEnd = 0
  /** Removals before this offset may be unknown here: a whole reading names only what is there. */
  private removalsFrom = 0

  /** Keys that a restored store lists although they were removed, until a later record tells. */
  private readonly leftovers = new Set<string>()

  private constructor (private readonly isNews: (record: KeyedRecord) => boolean, private readonly ranking: RecordRanking) {}

  /** @param isNews takes a record in and says whether it changed anything. */
  static create (isNews: (record: KeyedRecord) => boolean, ranking = RecordRanking.ByOffset): RecordTable {
    return new RecordTable(isNews, ranking)
  }

  get isWhole (): boolean {
    return this.known !== undefined
  }

  /** Everything before this offset is known. */
  get position (): number {
    return this.known ?? 0
  }

  /** Who knows everything before this offset lacks nothing that is known here. */
  get changed (): number {
    return this.changedEnd
  }

  /** @returns false for a record that is older than what is known of its key. */
  take (record: KeyedRecord): boolean {
    const { key, offset } = record
    const seen = this.seen.get(key) ?? -1
    if (offset <= seen && this.ranking === RecordRanking.ByOffset) {
      return offset === seen
    }
    const latest = Math.max(offset, seen)
    this.seen.set(key, latest)
    this.leftovers.delete(key)
    // Who heard of the removal must hear that it was undone, though nothing else has changed.
    const isBack = record.value !== undefined && this.records.has(key) && this.records.get(key)?.value === undefined
    if (this.isNews(record) || isBack) {
      this.records.set(key, { ...record, offset: latest })
      this.changedEnd = Math.max(this.changedEnd, latest + 1)
    }
    return true
  }

  /**
   * Takes the newest record of a key from a reading of the whole topic. The copy
   * that a store was restored from may still have a key that was removed in an
   * earlier era: only a record after it shows that the key is back.
   */
  takeListed (record: KeyedRecord): boolean {
    const { key, offset } = record
    const known = this.records.get(key)
    const isLeftover = known !== undefined && known.value === undefined && eraOf(known.offset) < eraOf(offset)
    if (!isLeftover) {
      return this.take(record)
    }
    this.seen.set(key, Math.max(offset, this.seen.get(key) ?? offset))
    this.leftovers.add(key)
    return true
  }

  /** Whether later records are waited for that others may not tell, since for them nothing has changed. */
  get hasLeftovers (): boolean {
    return this.leftovers.size > 0
  }

  /**
   * Takes what another instance told one who knows everything before an offset;
   * says whether it brought this table on. Where the other cannot tell what was
   * removed meanwhile it names all keys there are. The answer may have been on its way
   * for long: one that reaches no further than what is known by now may name
   * keys that were removed since, and nothing would remove them again.
   */
  takeTold ({ from, records, position, keys }: ToldSince): boolean {
    const isAhead = this.position >= from && position > this.position
    if (isAhead || this.ranking === RecordRanking.ByContents) {
      records.forEach(record => this.take(record))
    }
    if (!isAhead) {
      return false
    }
    if (keys) {
      this.retain(new Set(keys), position)
    } else {
      this.reach(position)
    }
    return true
  }

  /** Everything before the offset has been told. */
  reach (offset: number): void {
    this.known = Math.max(this.known ?? 0, offset)
  }

  /** All keys that there are before the offset: others were removed. */
  retain (keys: ReadonlySet<string>, end: number): void {
    for (const { key, value } of [...this.records.values()]) {
      if (value !== undefined && !keys.has(key) && (this.seen.get(key) ?? 0) < end) {
        this.take({ key, value: undefined, offset: end - 1 })
      }
    }
    this.removalsFrom = Math.max(this.removalsFrom, end)
    // Whoever knows less has to ask, since a removal may be all that it lacks.
    this.changedEnd = Math.max(this.changedEnd, end)
    this.reach(end)
  }

  /** What one who knows everything before the offset lacks. */
  since (offset: number): KeyedRecord[] {
    return [...this.records.values()].filter(record => record.offset >= offset)
  }

  /** What to tell one who knows everything before the offset. */
  tellSince (from: number): ToldSince {
    const keys = this.knowsRemovalsSince(from) ? undefined : this.keys
    return { from, records: this.since(from), position: this.position, keys }
  }

  /** Whether every removal from the offset on is among the records. */
  knowsRemovalsSince (offset: number): boolean {
    return offset >= this.removalsFrom
  }

  private get keys (): string[] {
    return [...this.records.values()].flatMap(({ key, value }) => value === undefined ? [] : [key])
  }
}
