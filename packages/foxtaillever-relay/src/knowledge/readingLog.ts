/** Lines on what readings of the platform's store brought, so that a record that was passed over can be found afterwards. */
import type { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { formatPosition } from './storePosition.js'

/** A reading that has ended. */
export interface EndedReading {
  readonly topic: AnnouncedTopic
  /** Everything before this position has been read. */
  readonly end: number
  /** Everything before this position was known before. */
  readonly known: number
}

export class ReadingLog {
  /** Records of the reading under way that are older than what is known, by topic. */
  private readonly older = new Map<AnnouncedTopic, number>()

  private constructor (private readonly log: RelayLog) {}

  static create (log: RelayLog): ReadingLog {
    return new ReadingLog(log)
  }

  /** @param isTaken the record is not older than what is known of its key. */
  noteRecord (topic: AnnouncedTopic, isTaken: boolean): void {
    if (!isTaken) {
      this.older.set(topic, (this.older.get(topic) ?? 0) + 1)
    }
  }

  whole ({ topic, end, known }: EndedReading, records: number): void {
    const subject = { topic, end: formatPosition(end), known: formatPosition(known), records, older: this.takeOlder(topic) }
    this.log.belief('Read a topic of the platform\'s store whole.', subject)
  }

  reached ({ topic, end, known }: EndedReading): void {
    const older = this.takeOlder(topic)
    if (older > 0) {
      const subject = { topic, end: formatPosition(end), known: formatPosition(known), older }
      this.log.trouble('Passed over records of the platform\'s store as older than what is known.', subject)
    }
  }

  private takeOlder (topic: AnnouncedTopic): number {
    const older = this.older.get(topic) ?? 0
    this.older.delete(topic)
    return older
  }
}
