/**
 * Keeps in a topic of the platform's store which software versions served each service until a moment ago, so that this
 * outlives a moment in which no instance runs: new instances would take the versions that serve then for all that began
 * streams. A version that has ended is removed from its record by an instance that has run since; no clocks are compared.
 */
import { decodeJson, type Cancellation, type Clock } from 'foxtaillever-core'
import { array, string } from 'purify-ts/Codec'
import type { WritableKeyedLog } from '../knowledge/memberRegistry.js'
import type { RelayLog } from '../telemetry/relayLog.js'

export interface VersionRecordsOptions {
  readonly clock: Clock
  readonly log: WritableKeyedLog
  readonly topic: string
  readonly relayLog: Pick<RelayLog, 'belief' | 'trouble'>
  /** Services that have servers. */
  readonly services: () => readonly string[]
  /** Versions whose servers serve the service, or did until a moment ago. */
  readonly versionsOf: (service: string) => readonly string[]
  /** Whether this instance writes the records of the service; a few do, in case one of them ends. */
  readonly isWriter: (service: string) => boolean
  /** Called with the versions of each record that was read. */
  readonly onRead: (service: string, versions: readonly string[]) => void
}

/** How long the store may take to answer, milliseconds; all instances may start and query it at the same time. */
const ANSWER_TIMEOUT_MS = 2800

/** Between two checks whether the records are current, or two attempts to read them, milliseconds. */
const CHECK_INTERVAL_MS = 2000

const record = array(string)

export class VersionRecords {
  /** Whether the records were read since the start. */
  isRead = false
  /** Contents of each service's record, as this instance read or wrote it last. */
  private readonly written = new Map<string, string>()
  private cancelCheck: Cancellation = () => {}
  private isStopped = false

  private constructor (private readonly options: VersionRecordsOptions) {}

  static create (options: VersionRecordsOptions): VersionRecords {
    return new VersionRecords(options)
  }

  /** Reads the records, and writes them whenever they change. */
  start (): void {
    const { clock, services } = this.options
    if (this.isStopped) {
      return
    }
    this.cancelCheck = clock.at(clock.now() + CHECK_INTERVAL_MS, () => this.start())
    if (this.isRead) {
      services().forEach(service => this.update(service))
    } else {
      this.runInBackground(this.read())
    }
  }

  stop (): void {
    this.isStopped = true
    this.cancelCheck()
  }

  /** Writes the record of the service if its versions have changed. A write that fails is made again by the next check. */
  update (service: string): void {
    const { versionsOf, isWriter } = this.options
    const text = JSON.stringify([...versionsOf(service)].sort())
    if (this.isRead && text !== this.written.get(service) && isWriter(service)) {
      this.runInBackground(this.write(service, text))
    }
  }

  private async read (): Promise<void> {
    const { log, topic, relayLog, onRead } = this.options
    const page = await log.newest(topic, '', ANSWER_TIMEOUT_MS)
    page.ifRight(({ records }) => {
      records.forEach(({ key, value }) => {
        decodeJson(record, value ?? Buffer.from('[]')).ifRight(versions => {
          this.written.set(key, JSON.stringify([...versions].sort()))
          onRead(key, versions)
        })
      })
      this.isRead = true
      relayLog.belief('Read which software versions served lately.', { services: records.length })
    })
  }

  private async write (service: string, text: string): Promise<void> {
    const { log, topic } = this.options
    const before = this.written.get(service)
    this.written.set(service, text)
    const answer = await log.put(topic, service, Buffer.from(text))
    answer.ifLeft(() => {
      // Unless a later change was written meanwhile.
      if (this.written.get(service) === text) {
        this.forget(service, before)
      }
    })
  }

  private forget (service: string, before: string | undefined): void {
    if (before === undefined) {
      this.written.delete(service)
    } else {
      this.written.set(service, before)
    }
  }

  private runInBackground (work: Promise<void>): void {
    work.catch((error: unknown) => this.options.relayLog.trouble('The records of software versions cannot be read or written.', { reason: String(error) }))
  }
}
