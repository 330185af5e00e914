/**
 * Reads the platform's log and passes each record, in order and once, to its
 * handlers. While the log is down it retries; its offset never moves backwards.
 */
import type { Clock, Log, LogPage, LogRecord } from 'foxtaillever-core'

/** How long one read may wait for new records, milliseconds. */
const READ_WAIT_MS = 2000

/** Delay before a failed read is retried, milliseconds; much shorter than the 8 s promised to operators. */
const RETRY_DELAY_MS = 250

export type RecordHandler = (record: LogRecord) => void

/** Called with an error of a handler, which costs that handler the record. */
export type ErrorListener = (error: unknown, record: LogRecord) => void

/** Called when records expired before they were read, with the first offset that the log still has and the page that stated it. */
export type GapListener = (first: number, page: LogPage) => void

export class LogReader {
  private nextOffset = 1
  private isStopped = false
  private endOffset = 0
  private lastRead = 0

  private constructor (private readonly log: Log, private readonly clock: Clock, private readonly handlers: readonly RecordHandler[], private readonly onGap: GapListener, private readonly onError: ErrorListener) {}

  static create (log: Log, clock: Clock, handlers: readonly RecordHandler[], onGap: GapListener = () => {}, onError: ErrorListener = error => { throw error }): LogReader {
    return new LogReader(log, clock, handlers, onGap, onError)
  }

  /** Offset of the last record passed to the handlers. */
  offset (): number {
    return this.nextOffset - 1
  }

  /** When the log last answered, milliseconds of Unix time; 0 for never. */
  lastReadAt (): number {
    return this.lastRead
  }

  /** Whether all records that the log had at its last answer have been passed to the handlers. */
  isCaughtUp (): boolean {
    return this.lastRead > 0 && this.nextOffset >= this.endOffset
  }

  start (): void {
    this.readPage()
  }

  stop (): void {
    this.isStopped = true
  }

  private async readPage (): Promise<void> {
    const result = await this.log.read(this.nextOffset, this.clock.now() + READ_WAIT_MS)
    if (this.isStopped) {
      return
    }
    const nextRead = result.caseOf({
      Left: () => this.clock.now() + RETRY_DELAY_MS,
      Right: page => {
        this.applyPage(page)
        return this.clock.now()
      }
    })
    this.clock.at(nextRead, () => this.readPage())
  }

  private applyPage (page: LogPage): void {
    this.lastRead = this.clock.now()
    this.endOffset = page.next
    // All records of a quiet log may expire, so the gap is detected by the page's first offset, not by a record.
    if (page.first > this.nextOffset) {
      this.nextOffset = page.first
      this.onGap(page.first, page)
    }
    for (const record of page.records) {
      if (record.offset < this.nextOffset) {
        continue
      }
      this.nextOffset = record.offset + 1
      this.handlers.forEach(handler => this.handle(handler, record))
    }
  }

  /** All instances meet the same record: an error must neither end their processes nor keep the records behind it. */
  private handle (handler: RecordHandler, record: LogRecord): void {
    try {
      handler(record)
    } catch (error) {
      this.onError(error, record)
    }
  }
}
