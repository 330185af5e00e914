/** Lines on what readings of the platform's store brought, so that a record that was passed over can be found afterwards. */
import type { ToldTopic } from '../peers/toldTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'

/** A reading that has ended. */
export interface EndedReading {
  readonly topic: ToldTopic
  /** Of the store. */
  readonly era: number
  /** Everything before this position has been read. */
  readonly end: number
  /** Everything before this position was known before. */
  readonly known: number
}

export class ReadingLog {
  /** Records of the reading under way that are older than what is known, by topic. */
  private readonly older = new Map<ToldTopic, number>()

  private constructor (private readonly log: RelayLog) {}

  static create (log: RelayLog): ReadingLog {
    return new ReadingLog(log)
  }

  /** @param isTaken the record is not older than what is known of its key. */
  noteRecord (topic: ToldTopic, isTaken: boolean): void {
    if (!isTaken) {
      this.older.set(topic, (this.older.get(topic) ?? 0) + 1)
    }
  }

  whole (reading: EndedReading, records: number): void {
    this.log.belief('Read a topic of the platform\'s store whole.', { ...reading, records, older: this.takeOlder(reading.topic) })
  }

  reached (reading: EndedReading): void {
    const older = this.takeOlder(reading.topic)
    if (older > 0) {
      this.log.trouble('Passed over records of the platform\'s store as older than what is known.', { ...reading, older })
    }
  }

  private takeOlder (topic: ToldTopic): number {
    const older = this.older.get(topic) ?? 0
    this.older.delete(topic)
    return older
  }
}
