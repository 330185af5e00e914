/** Logs the results of reads of the platform's store, so that skipped records can be found afterwards. */
import type { AnnouncedTopic } from '../peers/announcedTopic.js'
import type { RelayLog } from '../telemetry/relayLog.js'
import { formatPosition } from './storePosition.js'

/** A read that has ended. */
export interface EndedReading {
  readonly topic: AnnouncedTopic
  /** Everything before this position has been read. */
  readonly end: number
  /** Everything before this position was known before the read. */
  readonly known: number
}

export class ReadingLog {
  /** Counts of records of the current read that are older than the known ones, by topic. */
  private readonly older = new Map<AnnouncedTopic, number>()

  private constructor (private readonly log: RelayLog) {}

  static create (log: RelayLog): ReadingLog {
    return new ReadingLog(log)
  }

  /** @param isCurrent whether the record is not older than the known one of its key. */
  noteRecord (topic: AnnouncedTopic, isCurrent: boolean): void {
    if (!isCurrent) {
      this.older.set(topic, (this.older.get(topic) ?? 0) + 1)
    }
  }

  logCompleteRead ({ topic, end, known }: EndedReading, records: number): void {
    const subject = { topic, end: formatPosition(end), known: formatPosition(known), records, older: this.takeOlderCount(topic) }
    this.log.belief('Read a topic of the platform\'s store whole.', subject)
  }

  /** @param calledAt when the call was sent that brought the records, milliseconds of Unix time. */
  logNewRecords ({ topic, end, known }: EndedReading, calledAt: number, now: number): void {
    this.log.belief('Read new records of the platform\'s store.', { topic, end: formatPosition(end), known: formatPosition(known), callMs: Math.round(now - calledAt) })
  }

  logPartialRead ({ topic, end, known }: EndedReading): void {
    const older = this.takeOlderCount(topic)
    if (older > 0) {
      const subject = { topic, end: formatPosition(end), known: formatPosition(known), older }
      this.log.trouble('Passed over records of the platform\'s store as older than what is known.', subject)
    }
  }

  private takeOlderCount (topic: AnnouncedTopic): number {
    const older = this.older.get(topic) ?? 0
    this.older.delete(topic)
    return older
  }
}
