/** Model of the users' store: topics of partitions, and readers that wait for records. */
import type { Clock } from 'foxtaillever-core'
import { createKeyedContent, Partition } from './partition.js'
import { Watchers } from '../watchers.js'

const KEYED_PREFIX = 'keyed.'

/** Topics that only the platform writes; instances read them. */
export const OPERATORS_TOPIC = 'keyed.op'
export const SERVERS_TOPIC = 'keyed.servers'

/** Copy of the store's contents, by topic and partition. */
export type StoreCopy = ReadonlyMap<string, Partition>

export class StoreModel {
  private readonly partitions = new Map<string, Partition>()
  /** Increases each time the store is restored from a copy. */
  era = 0
  /** Whether no call reaches the store. */
  isUnreachable = false
  private readonly watchers: Watchers

  private constructor (private readonly clock: Clock) {
    this.watchers = Watchers.create(clock)
  }

  static create (clock: Clock): StoreModel {
    return new StoreModel(clock)
  }

  partition (topic: string, part = 0): Partition {
    const name = `${topic}/${part}`
    const known = this.partitions.get(name) ?? Partition.create(topic.startsWith(KEYED_PREFIX))
    this.partitions.set(name, known)
    return known
  }

  /** Writes a record as the platform does; faults don't apply. */
  put (topic: string, key: string, value: object | undefined): void {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value))
    this.putBytes(topic, key, bytes)
  }

  putBytes (topic: string, key: string, value: Buffer): void {
    this.partition(topic).append([createKeyedContent(key, value)], {}, this.clock.now()).ifRight(() => this.wakeReaders())
  }

  copy (): StoreCopy {
    return new Map([...this.partitions].map(([name, partition]) => [name, partition.copy()]))
  }

  /** Replaces the contents with the copy. Later records are lost, and their offsets are assigned again. */
  restore (copy: StoreCopy): void {
    this.partitions.clear()
    copy.forEach((partition, name) => this.partitions.set(name, partition.copy()))
    this.era += 1
    this.wakeReaders()
  }

  /** Drops all records but the newest of each key. */
  compact (): void {
    this.partitions.forEach(partition => partition.trim(partition.end))
  }

  /** Wakes readers that wait for records. */
  wakeReaders (): void {
    this.watchers.wake()
  }

  /** Waits until the partition has the offset, or until the deadline. */
  async waitFor (partition: Partition, offset: number, deadline: number): Promise<void> {
    while (partition.end <= offset && this.clock.now() < deadline) {
      await this.watchers.next(deadline)
    }
  }
}
