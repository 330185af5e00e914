/**
 * Follows the platform's log and hands each record, in order and once, to its
 * readers. When the log is down it keeps trying; nothing moves backwards.
 */
import type { Clock, Log, LogPage, LogRecord } from 'foxtaillever-core'

/** How long one read may wait for news, milliseconds. */
const READ_WAIT_MS = 2000

/** Pause after a failed read, milliseconds; short against the 8 s promised to operators. */
const PAUSE_AFTER_FAILURE_MS = 250

export type RecordReader = (record: LogRecord) => void

/** Hears the first offset still kept, and the page that told, when records before it were never read. */
export type GapListener = (first: number, page: LogPage) => void

export class LogReader {
  private next = 1
  private stopped = false
  private reached = 0
  private lastRead = 0

  private constructor (private readonly log: Log, private readonly clock: Clock, private readonly readers: readonly RecordReader[], private readonly onGap: GapListener) {}

  static create (log: Log, clock: Clock, readers: readonly RecordReader[], onGap: GapListener = () => {}): LogReader {
    return new LogReader(log, clock, readers, onGap)
  }

  /** Offset of the last record handed on. */
  offset (): number {
    return this.next - 1
  }

  /** When the log last answered, milliseconds of Unix time; 0 for never. */
  lastReadAt (): number {
    return this.lastRead
  }

  /** Whether everything that stood in the log at the last answer has been handed on. */
  isCaughtUp (): boolean {
    return this.lastRead > 0 && this.next >= this.reached
  }

  start (): void {
    this.step()
  }

  stop (): void {
    this.stopped = true
  }

  private async step (): Promise<void> {
    const page = await this.log.read(this.next, this.clock.now() + READ_WAIT_MS)
    if (this.stopped) {
      return
    }
    const nextRead = page.caseOf({
      Left: () => this.clock.now() + PAUSE_AFTER_FAILURE_MS,
      Right: read => {
        this.take(read)
        return this.clock.now()
      }
    })
    this.clock.at(nextRead, () => this.step())
  }

  private take (page: LogPage): void {
    this.lastRead = this.clock.now()
    this.reached = page.next
    // A quiet log can expire to nothing, so the gap is told by the page, not by a record.
    if (page.first > this.next) {
      this.next = page.first
      this.onGap(page.first, page)
    }
    for (const record of page.records) {
      if (record.offset < this.next) {
        continue
      }
      this.next = record.offset + 1
      this.readers.forEach(reader => reader(record))
    }
  }
}
