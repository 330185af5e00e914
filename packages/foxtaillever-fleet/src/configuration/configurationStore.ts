/**
 * Holds the folded configuration of this instance. It only moves forward:
 * records that were already read, old snapshots and outdated copies of peers
 * change nothing, so the configuration in force never reverts to an older one.
 */
import { RecordKind, type Configuration, type LogRecord } from 'foxtaillever-core'
import type { ConfigurationRecord, SnapshotRecord } from './change.js'
import { digestOf } from './digest.js'
import { foldConfiguration, FoldOutcome } from './foldConfiguration.js'
import { appendHistory, HISTORY_LENGTH, isIntact, emptyFold, type AcceptedRevision, type ConfigurationChanges, type FoldedConfiguration } from './foldedConfiguration.js'
import { RecordBacklog } from './recordBacklog.js'

/** Result of offering a peer's copy to the store. */
export enum OfferOutcome {
  Adopted = 'taken',
  Older = 'older',
  /** The digest does not match the contents. */
  Damaged = 'damaged',
  /** The copy contradicts the configuration folded here, which only a fault can cause. */
  Divergent = 'divergent'
}

export type ConfigurationListener = (folded: FoldedConfiguration) => void

export class ConfigurationStore {
  private folded = emptyFold
  private readonly backlog = RecordBacklog.create()
  private readonly listeners = new Set<ConfigurationListener>()
  /** The last accepted records, for peers that are a few revisions behind. */
  private recentRecords: readonly LogRecord[] = []
  private divergences = 0

  private constructor () {}

  static create (): ConfigurationStore {
    return new ConfigurationStore()
  }

  /** The configuration in force on this instance. */
  configuration (): Configuration {
    return this.folded.configuration
  }

  current (): FoldedConfiguration {
    return this.folded
  }

  /** Whether any configuration has been folded; without one the instance can serve no request. */
  hasConfiguration (): boolean {
    return this.folded.configuration.revision > 0
  }

  /** Whether records are missing between the folded offset and the records that the log still retains. */
  hasGap (): boolean {
    return !this.backlog.isEmpty()
  }

  /** How often a peer's copy or a snapshot contradicted the configuration folded here. */
  divergenceCount (): number {
    return this.divergences
  }

  /** Calls the listener after each change of the configuration in force. */
  onChange (listener: ConfigurationListener): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Folds one record. The log reader calls it in order of offsets. */
  readonly applyRecord = (record: LogRecord): void => {
    if (record.offset <= this.folded.offset) {
      return
    }
    if (record.offset === this.folded.offset + 1 && this.backlog.isEmpty()) {
      this.advanceTo(this.fold(this.folded, record))
      this.appendRecent([record])
      return
    }
    this.backlog.add(record)
    this.closeGap(record)
  }

  /** Called by the log reader when records before this offset expired before they were read. */
  readonly noteFirstRetainedOffset = (first: number): void => {
    if (first > this.folded.offset + 1) {
      this.backlog.startRunAt(first)
    }
  }

  /** Adopts a peer's copy if its offset is above the folded offset. */
  offerCopy (copy: FoldedConfiguration): OfferOutcome {
    if (!isIntact(copy)) {
      return OfferOutcome.Damaged
    }
    if (this.contradicts(copy)) {
      this.divergences += 1
      return OfferOutcome.Divergent
    }
    if (copy.offset <= this.folded.offset) {
      return OfferOutcome.Older
    }
    this.advanceTo(this.foldBacklogOnto(copy))
    return OfferOutcome.Adopted
  }

  /** Records accepted since the revision; undefined when the recent records do not reach back to it. */
  changesSince (revision: number): ConfigurationChanges | undefined {
    const start = this.recentRecords.findIndex(record => (record.body as ConfigurationRecord).base === revision)
    const { configuration, offset, digest } = this.folded
    const records = this.recentRecords.slice(start)
    return start >= 0 && records.at(-1)?.offset === configuration.revision ? { records, offset, digest } : undefined
  }

  /** Folds a peer's changes on top of the configuration here, and adopts the result only if its digest is the peer's. */
  offerChanges ({ records, offset, digest }: ConfigurationChanges): OfferOutcome {
    const first = records[0]?.body as ConfigurationRecord | undefined
    if (offset <= this.folded.offset || first?.base !== this.folded.configuration.revision) {
      return OfferOutcome.Older
    }
    const folded = records.reduce((state, record) => this.fold(state, record), this.folded)
    if (folded.digest !== digest) {
      return OfferOutcome.Damaged
    }
    const outcome = this.offerCopy({ ...folded, offset })
    this.appendRecent(records)
    return outcome
  }

  /** The accepted record with this id, if the history still contains it. */
  acceptedRevision (id: string): AcceptedRevision | undefined {
    return this.folded.history.find(accepted => accepted.id === id)
  }

  /** Whether the history reaches back to this offset, so that it would show a record accepted there. */
  historyReaches (offset: number): boolean {
    const oldest = this.folded.history[0]
    return this.folded.history.length < HISTORY_LENGTH || (oldest !== undefined && oldest.revision <= offset)
  }

  private contradicts (copy: FoldedConfiguration): boolean {
    const offsetsAhead = copy.offset - this.folded.offset
    const revisionsAhead = copy.configuration.revision - this.folded.configuration.revision
    if (revisionsAhead === 0) {
      return copy.digest !== this.folded.digest
    }
    return offsetsAhead > 0 ? revisionsAhead < 0 : copy.configuration.revision > this.folded.configuration.revision
  }

  private fold (folded: FoldedConfiguration, record: LogRecord): FoldedConfiguration {
    if (record.kind !== RecordKind.Configuration) {
      return { ...folded, offset: record.offset }
    }
    const { configuration, outcome } = foldConfiguration(folded.configuration, record)
    if (outcome !== FoldOutcome.Accepted) {
      return { ...folded, offset: record.offset }
    }
    const { author } = record.body as ConfigurationRecord
    const history = appendHistory(folded.history, { revision: record.offset, author, id: record.id })
    return { configuration, offset: record.offset, digest: digestOf(configuration), history }
  }

  /** Closes the gap if the record is a snapshot that covers it. */
  private closeGap (record: LogRecord): void {
    if (record.kind !== RecordKind.Snapshot) {
      return
    }
    const copy = toFoldedConfiguration(record.body as SnapshotRecord)
    if (copy === undefined || !isIntact(copy) || !this.backlog.connectsTo(copy.offset)) {
      return
    }
    if (copy.configuration.revision < this.folded.configuration.revision) {
      this.divergences += 1
      return
    }
    this.advanceTo(this.foldBacklogOnto(copy))
  }

  private foldBacklogOnto (copy: FoldedConfiguration): FoldedConfiguration {
    if (!this.backlog.connectsTo(copy.offset)) {
      return copy
    }
    const reached = Math.max(copy.offset, this.backlog.lastOffset())
    const folded = this.backlog.drainAbove(copy.offset).reduce((state, record) => this.fold(state, record), copy)
    return { ...folded, offset: reached }
  }

  /** Keeps accepted records for peers. After a jump their chain is broken, and peers fetch the whole configuration. */
  private appendRecent (records: readonly LogRecord[]): void {
    const accepted = records.filter(({ offset }) => this.folded.history.some(({ revision }) => revision === offset))
    if (accepted.length > 0) {
      this.recentRecords = [...this.recentRecords, ...accepted].slice(-HISTORY_LENGTH)
    }
  }

  private advanceTo (folded: FoldedConfiguration): void {
    const changed = folded.configuration.revision !== this.folded.configuration.revision
    this.folded = folded
    if (changed) {
      this.listeners.forEach(listener => listener(folded))
    }
  }
}

function toFoldedConfiguration (snapshot: SnapshotRecord): FoldedConfiguration | undefined {
  if (snapshot?.offset === undefined || snapshot.digest === undefined) {
    return undefined
  }
  return { configuration: snapshot.configuration, offset: snapshot.offset, digest: snapshot.digest, history: snapshot.history ?? [] }
}
