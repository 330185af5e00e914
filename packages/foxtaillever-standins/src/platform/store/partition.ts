/**
 * One partition of a topic in the stand-in of the users' store: records by offset,
 * limited retention, conditional appends, and the newest record of each key.
 */
import { Left, Right, type Either } from 'purify-ts'

/** Newest appends of a producer that it may repeat to get the same answer. */
const REPEATABLE_APPENDS = 5

export interface StoredRecord {
  readonly offset: number
  readonly content: Buffer
  readonly appendedAt: number
}

export interface KeyedContent {
  readonly key: string
  /** Empty if the key was deleted. */
  readonly value: Buffer
}

/** Numbers the appends of one writer, so that a repeated append has no second effect. */
export interface ProducerMark {
  readonly producer: string
  readonly epoch: number
  readonly sequence: number
}

export interface AppendConditions {
  /** Expected end of the partition. */
  readonly at?: number
  readonly mark?: ProducerMark
}

export interface AppendedRange {
  readonly offset: number
  readonly end: number
}

/** Answer to an append that had no effect. */
export interface AppendRefusal {
  readonly status: number
  readonly body: object
}

interface Producer {
  readonly epoch: number
  sequence: number | undefined
  readonly answers: Map<number, AppendedRange>
}

/** Reads a keyed record: length of the key in one byte, the key, the value. */
export function readKeyedContent (content: Buffer): KeyedContent {
  const end = 1 + (content[0] ?? 0)
  return { key: content.toString('utf8', 1, end), value: content.subarray(end) }
}

export function createKeyedContent (key: string, value: Buffer): Buffer {
  const name = Buffer.from(key)
  return Buffer.concat([Buffer.from([name.length]), name, value])
}

export class Partition {
  private records: StoredRecord[] = []
  private readonly producers = new Map<string, Producer>()
  readonly newest = new Map<string, { readonly value: Buffer, readonly offset: number }>()
  end = 0

  private constructor (private readonly isKeyed: boolean) {}

  static create (isKeyed: boolean): Partition {
    return new Partition(isKeyed)
  }

  /** Returns an independent copy of this partition. */
  copy (): Partition {
    const copy = Partition.create(this.isKeyed)
    copy.records = [...this.records]
    copy.end = this.end
    this.newest.forEach((record, key) => copy.newest.set(key, record))
    this.producers.forEach((producer, name) => copy.producers.set(name, { ...producer, answers: new Map(producer.answers) }))
    return copy
  }

  /** First retained offset. */
  get first (): number {
    return this.records[0]?.offset ?? this.end
  }

  append (contents: readonly Buffer[], { at, mark }: AppendConditions, now: number): Either<AppendRefusal, AppendedRange> {
    const known = mark && this.checkProducer(mark)
    if (known?.isLeft() === true || known?.orDefault(undefined) !== undefined) {
      return known as Either<AppendRefusal, AppendedRange>
    }
    if (at !== undefined && at !== this.end) {
      return Left({ status: 412, body: { end: this.end } })
    }
    const offset = this.end
    contents.forEach(content => this.addRecord(content, now))
    const appended = { offset, end: this.end }
    if (mark) {
      this.recordAppend(mark, contents.length > 0 ? appended : undefined)
    }
    return Right(appended)
  }

  /** Left if the append is refused; Right with the first answer if it is a repeat. */
  private checkProducer ({ producer, epoch, sequence }: ProducerMark): Either<AppendRefusal, AppendedRange | undefined> {
    const known = this.producers.get(producer)
    if (!known || epoch > known.epoch) {
      return Right(undefined)
    }
    if (epoch < known.epoch) {
      return Left({ status: 409, body: { why: 'fenced' } })
    }
    const before = known.answers.get(sequence)
    const expected = known.sequence === undefined ? sequence : known.sequence + 1
    return before !== undefined || sequence === expected ? Right(before) : Left({ status: 409, body: { why: 'seq', seq: expected } })
  }

  private recordAppend ({ producer, epoch, sequence }: ProducerMark, appended: AppendedRange | undefined): void {
    const known = this.producers.get(producer)
    const current: Producer = known?.epoch === epoch ? known : { epoch, sequence: undefined, answers: new Map() }
    this.producers.set(producer, current)
    if (appended) {
      current.sequence = sequence
      current.answers.set(sequence, appended)
      current.answers.delete(sequence - REPEATABLE_APPENDS)
    }
  }

  private addRecord (content: Buffer, now: number): void {
    const offset = this.end++
    this.records.push({ offset, content, appendedAt: now })
    if (!this.isKeyed) {
      return
    }
    const { key, value } = readKeyedContent(content)
    this.newest.delete(key)
    if (value.length > 0) {
      this.newest.set(key, { value, offset })
    }
  }

  /** Undefined if not all records from the offset on are retained, or if the partition ends before it. */
  read (from: number): readonly StoredRecord[] | undefined {
    return from < this.first || from > this.end ? undefined : this.records.slice(from - this.first)
  }

  trim (before: number): void {
    this.records = this.records.filter(({ offset }) => offset >= before)
  }

  expire (oldest: number): void {
    this.records = this.records.filter(({ appendedAt }) => appendedAt >= oldest)
  }
}
